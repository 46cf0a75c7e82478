import { LRUCache } from "lru-cache";
import type { Crash, CrashRecord, HoldRules } from "../../protocol/index.js";
import { CrashHistory, type KnownCrash } from "./crashHistory.js";

/** Requests with a crash that are remembered, 2 MB of them: a caller may send a new one each time. */
const historyLimit = 4_096;
/** Backend servers whose end is put down to a request that is held back. */
const explainedLimit = 4_096;
/** Least crashes of a request that other daemons hear of. */
const toldCrashes = 2;
/** Times as long that a request is held back with each further crash, and milliseconds at the most: each try may cost one. */
const holdGrowth = 4;
const longestHold = 24 * 60 * 60_000;
/** What sums of fractions may lack of a whole. */
const rounding = 1e-9;
/** Milliseconds for which a request is remembered after its last crash, or after its hold. */
const memory = 10 * 60_000;

/** Why a request is held back, and for how long. */
export type Hold = {
    /** Milliseconds until it may run again. */
    readonly left: number;
    /** The backend servers that ended under it. */
    readonly crashes: readonly Crash[];
};

/** A request that is held back. */
export type HeldRequest = Hold & { readonly digest: string; };

/**
 * Requests under which backend servers ended, and which of these are held back for it. Every daemon keeps a
 * copy; they tell each other all that bears on a decision, so that none has to be asked when a request comes.
 */
export class Quarantine {
    private readonly histories = new LRUCache<string, CrashHistory>({ max: historyLimit });
    private readonly numbers = new LRUCache<string, number>({ max: historyLimit });
    /** The request that is held back for the end of a backend server, by that server. */
    private readonly culprits = new LRUCache<string, string>({ max: explainedLimit });
    private last = 0;

    private constructor(private readonly rules: HoldRules) {}

    static create(rules: HoldRules): Quarantine {
        return new Quarantine(rules);
    }

    /** Takes in what was seen here or told by another daemon; gives the records that are news. */
    merge(records: readonly CrashRecord[], now: number): readonly CrashRecord[] {
        return records.filter(record => {
            const history = this.histories.get(record.digest) ?? CrashHistory.create();
            const isNews = history.merge(record, now);
            if (isNews) {
                this.histories.set(record.digest, history);
                this.blame(record.digest, history);
                this.number(record.digest, history);
            }
            return isNews;
        });
    }

    /** Whether any crash counts against the request. */
    isSuspected(digest: string): boolean {
        return this.against(digest).length > 0;
    }

    /** Why the request may not be sent to any backend server now; undefined where it may. */
    hold(digest: string, now: number): Hold | undefined {
        const crashes = this.against(digest);
        if (!this.isTooMuch(crashes)) {
            return undefined;
        }
        const left = Math.max(...crashes.map(({ at }) => at)) + this.holdTime(crashes) - now;
        const told = crashes.map(({ server, phase, at }) => ({ server, phase, age: now - at }));
        return left > 0 ? { left, crashes: told } : undefined;
    }

    /** All that is held back now. */
    held(now: number): readonly HeldRequest[] {
        return [...this.histories.keys()].flatMap(digest => {
            const hold = this.hold(digest, now);
            return hold === undefined ? [] : [{ digest, ...hold }];
        });
    }

    /** Number of the newest change that others have to know. */
    newest(): number {
        return this.last;
    }

    /** What changed after that number. */
    since(number: number, now: number): readonly CrashRecord[] {
        return [...this.histories.entries()]
            .filter(([digest]) => (this.numbers.peek(digest) ?? 0) > number)
            .map(([digest, history]) => history.record(digest, now));
    }

    /** What is known of one request. */
    record(digest: string, now: number): CrashRecord | undefined {
        return this.histories.peek(digest)?.record(digest, now);
    }

    /** All that is known, for a directory that has just started: what gateways saw has to reach one that remembers nothing. */
    all(now: number): readonly CrashRecord[] {
        return [...this.histories.entries()].map(([digest, history]) => history.record(digest, now));
    }

    /** Forgets what says nothing any more. */
    sweep(now: number): void {
        for (const [digest, history] of this.histories.entries()) {
            const hold = this.isTooMuch(this.against(digest)) ? this.holdTime(history.standing()) : 0;
            if (now - history.changedAt() > hold + memory) {
                this.histories.delete(digest);
                this.numbers.delete(digest);
            }
        }
    }

    /** The crashes that count against a request: not those that another one explains better. */
    private against(digest: string): readonly KnownCrash[] {
        const standing = this.histories.peek(digest)?.standing() ?? [];
        return standing.filter(({ server, phase }) => {
            const culprit = this.culprits.peek(server);
            return phase === "early" || culprit === undefined || culprit === digest;
        });
    }

    /**
     * Numbers a change that others have to know. A single crash isn't told on: an engine that ends of something else takes
     * dozens of runs along, and hardly one of them is ever hit again.
     */
    private number(digest: string, history: CrashHistory): void {
        if (history.mostStanding() >= Math.min(toldCrashes, this.rules.crashes, this.rules.earlyCrashes)) {
            this.last += 1;
            this.numbers.set(digest, this.last);
        }
    }

    /**
     * Puts the end of backend servers down to a request that is held back for it. Whatever else ran there, and had already
     * given something, was only hit; of an engine with twenty runs that is most of them.
     */
    private blame(digest: string, history: CrashHistory): void {
        const early = history.standing().filter(({ phase }) => phase === "early");
        if (early.length >= this.rules.earlyCrashes) {
            early.forEach(({ server }) => this.culprits.set(server, digest));
        }
    }

    private isTooMuch(crashes: readonly KnownCrash[]): boolean {
        return this.weight(crashes) + rounding >= 1;
    }

    /** Crashes of each kind count by their own limit, 1 being enough: two early ones as much as five late ones. */
    private weight(crashes: readonly KnownCrash[]): number {
        const { crashes: whole, earlyCrashes: early, lateCrashes: late } = this.rules;
        const limits = { whole, early, late };
        return crashes.reduce((sum, { phase }) => sum + 1 / limits[phase], 0);
    }

    private holdTime(crashes: readonly KnownCrash[]): number {
        const beyond = Math.round(Math.max(0, this.weight(crashes) - 1) * this.rules.crashes);
        return Math.min(longestHold, this.rules.firstHold * holdGrowth ** beyond);
    }
}
