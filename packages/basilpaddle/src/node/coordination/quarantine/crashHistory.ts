import { type Crash, type CrashPhase, type CrashRecord, mostCrashes } from "../../protocol/index.js";

/**
 * Milliseconds by which two daemons' moments of one event may differ. An age is older on arrival than it says, by the time
 * that it took: without the tolerance two daemons would tell each other of one event for ever, each time as a later one.
 */
const tolerance = 1_000;

/** A crash as this daemon remembers it: by its own clock. */
export type KnownCrash = { readonly server: string; readonly phase: CrashPhase; readonly at: number; };

/**
 * The crashes under one request. What daemons tell of it can be merged in any order and any number of times: each backend
 * server counts once, and the latest clearing wins.
 */
export class CrashHistory {
    private readonly crashes = new Map<string, KnownCrash>();
    private clearedAt = -Infinity;
    private most = 0;

    static create(): CrashHistory {
        return new CrashHistory();
    }

    /** Takes in what another daemon knows; tells whether any of it is news. */
    merge({ crashes, clearedAge }: Omit<CrashRecord, "digest">, now: number): boolean {
        const isCleared = clearedAge !== undefined && this.clear(now - clearedAge);
        const isHit = crashes.filter(crash => this.add(crash, now)).length > 0;
        return isCleared || isHit;
    }

    /** The crashes that count, oldest first. */
    standing(): readonly KnownCrash[] {
        return [...this.crashes.values()];
    }

    /** The most crashes that ever counted at once. */
    mostStanding(): number {
        return this.most;
    }

    /** When something last happened. */
    changedAt(): number {
        return Math.max(this.clearedAt, ...this.standing().map(({ at }) => at));
    }

    /** What other daemons are told. */
    record(digest: string, now: number): CrashRecord {
        const crashes = this.standing().map(({ server, phase, at }): Crash => ({ server, phase, age: now - at }));
        return Number.isFinite(this.clearedAt)
            ? { digest, crashes, clearedAge: Math.max(0, now - this.clearedAt) }
            : { digest, crashes };
    }

    private clear(at: number): boolean {
        const cleared = this.standing().filter(crash => crash.at <= at);
        // Within the tolerance it may be the same clearing again, which is news only where crashes still stand.
        if (cleared.length === 0 && at <= this.clearedAt + tolerance) {
            return false;
        }
        cleared.forEach(({ server }) => this.crashes.delete(server));
        this.clearedAt = Math.max(this.clearedAt, at);
        return true;
    }

    private add({ server, phase, age }: Crash, now: number): boolean {
        const at = now - age;
        if (this.crashes.has(server) || this.crashes.size >= mostCrashes || at <= this.clearedAt) {
            return false;
        }
        this.crashes.set(server, { server, phase, at });
        this.most = Math.max(this.most, this.crashes.size);
        return true;
    }
}
