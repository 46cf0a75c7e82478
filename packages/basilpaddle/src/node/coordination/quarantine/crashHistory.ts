import { type Crash, type CrashPhase, type CrashRecord, maxRecordedCrashes } from "../../protocol/index.js";

/**
 * Difference up to which two timestamps are taken for the same event. Records carry ages, which don't include the transit
 * time: without the tolerance two daemons would send each other one event for ever, each time with a later timestamp.
 */
const ageToleranceMilliseconds = 1_000;

/** A crash with its time on this daemon's own clock. */
export type KnownCrash = { readonly server: string; readonly phase: CrashPhase; readonly at: number; };

/**
 * The crashes of backend servers that ran one request. Records of other daemons can be merged in any order and any number
 * of times: each backend server counts once, and the latest clearing wins.
 */
export class CrashHistory {
    private readonly crashes = new Map<string, KnownCrash>();
    private lastClearedAt = -Infinity;
    private peakCount = 0;

    static create(): CrashHistory {
        return new CrashHistory();
    }

    /** Merges another daemon's record; returns whether it changed anything here. */
    merge({ crashes, clearedAge }: Omit<CrashRecord, "digest">, now: number): boolean {
        const isCleared = clearedAge !== undefined && this.clear(now - clearedAge);
        const isExtended = crashes.filter(crash => this.addCrash(crash, now)).length > 0;
        return isCleared || isExtended;
    }

    /** The crashes that haven't been cleared, in the order of their arrival here. */
    activeCrashes(): readonly KnownCrash[] {
        return [...this.crashes.values()];
    }

    /** The highest number of crashes that counted at the same time. */
    peakCrashCount(): number {
        return this.peakCount;
    }

    /** Time of the latest crash or clearing. */
    changedAt(): number {
        return Math.max(this.lastClearedAt, ...this.activeCrashes().map(({ at }) => at));
    }

    /** The record that is sent to other daemons. */
    toRecord(digest: string, now: number): CrashRecord {
        const crashes = this.activeCrashes().map(({ server, phase, at }): Crash => ({ server, phase, age: now - at }));
        return Number.isFinite(this.lastClearedAt)
            ? { digest, crashes, clearedAge: Math.max(0, now - this.lastClearedAt) }
            : { digest, crashes };
    }

    private clear(at: number): boolean {
        const cleared = this.activeCrashes().filter(crash => crash.at <= at);
        // Within the tolerance it may be the same clearing again, which changes something only if it removes crashes.
        if (cleared.length === 0 && at <= this.lastClearedAt + ageToleranceMilliseconds) {
            return false;
        }
        cleared.forEach(({ server }) => this.crashes.delete(server));
        this.lastClearedAt = Math.max(this.lastClearedAt, at);
        return true;
    }

    private addCrash({ server, phase, age }: Crash, now: number): boolean {
        const at = now - age;
        if (this.crashes.has(server) || this.crashes.size >= maxRecordedCrashes || at <= this.lastClearedAt) {
            return false;
        }
        this.crashes.set(server, { server, phase, at });
        this.peakCount = Math.max(this.peakCount, this.crashes.size);
        return true;
    }
}
