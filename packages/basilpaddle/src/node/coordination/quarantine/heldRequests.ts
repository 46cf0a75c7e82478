import { LRUCache } from "lru-cache";
import { randomUUID } from "node:crypto";
import type { CrashRecord, HoldRules } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { type HeldRequest, type Hold, Quarantine } from "./quarantine.js";

/** Requests that were answered in full, and milliseconds for which that speaks for them. */
const answeredLimit = 1_024;
const answeredMemory = 60_000;
/** Least milliseconds between two looks at what may be forgotten. */
const sweepInterval = 60_000;

/** What a daemon's copy needs. */
export type HeldRequestsOptions = {
    readonly rules: HoldRules;
    /** Passes on what this daemon found out itself, or an operator told it. */
    readonly tell: (records: readonly CrashRecord[]) => void;
    readonly clock: Clock;
    readonly logger: Logger;
};

/** One daemon's copy of what all know of requests under which backend servers ended; logs each change of a belief. */
export class HeldRequests {
    /** Names this copy: numbers of another one, of an earlier start say, mean nothing here. */
    readonly source = randomUUID();
    private readonly quarantine: Quarantine;
    private readonly answeredAt = new LRUCache<string, number>({ max: answeredLimit });
    private sweptAt = -Infinity;

    private constructor(private readonly options: HeldRequestsOptions) {
        this.quarantine = Quarantine.create(options.rules);
    }

    static create(options: HeldRequestsOptions): HeldRequests {
        return new HeldRequests(options);
    }

    /** Why a request may not be sent now; undefined where it may. */
    hold(digest: string): Hold | undefined {
        return this.quarantine.hold(digest, this.now());
    }

    /** Whether any crash counts against a request. */
    isSuspected(digest: string): boolean {
        return this.quarantine.isSuspected(digest);
    }

    /** Takes in what other daemons know; gives what is news. */
    merge(records: readonly CrashRecord[]): readonly CrashRecord[] {
        this.sweep();
        const news = this.quarantine.merge(records, this.now());
        for (const { digest } of news) {
            if (this.isSuspected(digest) && this.wasAnsweredLately(digest)) {
                this.clear(digest);
            }
            else {
                this.log(digest);
            }
        }
        return news;
    }

    /** Notes that a backend server ended under a request, and tells others. */
    note(digest: string, crash: CrashRecord["crashes"][number]): void {
        this.tell({ digest, crashes: [crash] });
    }

    /** Notes that a request was answered in full: whatever ended while it ran before, it isn't the cause. */
    answered(digest: string): void {
        this.answeredAt.set(digest, this.now());
        if (this.isSuspected(digest)) {
            this.clear(digest);
        }
    }

    /**
     * Whether it was answered in full here lately. One that many callers send alike runs somewhere whenever servers end;
     * held back for that, it would be refused to all of them.
     */
    wasAnsweredLately(digest: string): boolean {
        return this.now() - (this.answeredAt.get(digest) ?? -Infinity) < answeredMemory;
    }

    /** Lets a request run again by an operator's word; tells whether anything spoke against it. */
    release(digest: string, operator: string): boolean {
        const wasSuspected = this.isSuspected(digest);
        this.options.logger.info("an operator released a request", { content: digest, operator, wasSuspected });
        if (wasSuspected) {
            this.clear(digest);
        }
        return wasSuspected;
    }

    /** All that is held back now. */
    held(): readonly HeldRequest[] {
        return this.quarantine.held(this.now());
    }

    /** Number of the newest change that others have to know. */
    newest(): number {
        return this.quarantine.newest();
    }

    /** What changed after that number and others have to know. */
    since(number: number): readonly CrashRecord[] {
        return this.quarantine.since(number, this.now());
    }

    /** What is known of some requests. */
    records(digests: readonly string[]): readonly CrashRecord[] {
        return digests.flatMap(digest => this.quarantine.record(digest, this.now()) ?? []);
    }

    /** All that is known here, single crashes included. */
    all(): readonly CrashRecord[] {
        return this.quarantine.all(this.now());
    }

    /** Sets the gauge of requests that are held back. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_requests_held_back", this.held().length);
    }

    /** Old records go when others are told: without crashes there is nothing to forget in haste. */
    private sweep(): void {
        const now = this.now();
        if (now - this.sweptAt > sweepInterval) {
            this.sweptAt = now;
            this.quarantine.sweep(now);
        }
    }

    private clear(digest: string): void {
        this.tell({ digest, crashes: [], clearedAge: 0 });
    }

    private tell(record: CrashRecord): void {
        if (this.merge([record]).length > 0) {
            this.options.tell([record]);
        }
    }

    private log(digest: string): void {
        const { logger } = this.options;
        const hold = this.hold(digest);
        if (hold !== undefined) {
            const { left, crashes } = hold;
            logger.warn("a request is held back", {
                content: digest,
                for: Math.round(left),
                crashes: crashTexts(crashes),
            });
        }
        else if (!this.isSuspected(digest)) {
            logger.info("nothing is held against a request any more", { content: digest });
        }
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}

/** The backend servers that ended, and how many milliseconds ago. */
export function crashTexts(crashes: Hold["crashes"]): string[] {
    return crashes.map(({ server, age, phase }) => `${server} ${Math.round(age)} ${phase}`);
}
