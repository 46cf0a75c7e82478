import { LRUCache } from "lru-cache";
import { randomUUID } from "node:crypto";
import type { Crash, CrashRecord, QuarantineRules } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { BegunAnswers } from "./begunAnswers.js";
import { PartShares } from "./partShares.js";
import { isPromptPartName } from "./promptPart.js";
import { Quarantine, type QuarantineEntry, type QuarantineStatus } from "./quarantine.js";

/** Number of fully answered requests that are remembered, and how long an answer clears a request of crashes. */
const answeredCacheSize = 1_024;
const answeredRetentionMilliseconds = 60_000;
/** Minimum interval between two removals of expired records. */
const sweepIntervalMilliseconds = 60_000;

/** Dependencies of a daemon's copy. */
export type QuarantinedRequestsOptions = {
    readonly rules: QuarantineRules;
    /** Publishes records that this daemon changed itself: by a detected crash, a complete answer or an operator's release. */
    readonly publishRecords: (records: readonly CrashRecord[]) => void;
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * One daemon's copy of the records, shared by all daemons, of requests and parts of prompts that backend servers crashed on. Logs
 * each change of their state.
 */
export class QuarantinedRequests {
    /** Identifies this copy: change numbers of another copy, such as one before a restart, aren't valid here. */
    readonly source = randomUUID();
    private readonly quarantine: Quarantine;
    private readonly begunAnswers = BegunAnswers.create();
    private readonly partShares = PartShares.create();
    private readonly answeredAt = new LRUCache<string, number>({ max: answeredCacheSize });
    private lastSweepAt = -Infinity;

    private constructor(private readonly options: QuarantinedRequestsOptions) {
        this.quarantine = Quarantine.create(options.rules);
    }

    static create(options: QuarantinedRequestsOptions): QuarantinedRequests {
        return new QuarantinedRequests(options);
    }

    /** Why a request may not be sent now; undefined if it may. */
    quarantineStatus(digest: string): QuarantineStatus | undefined {
        return this.quarantine.currentStatus(digest, this.now());
    }

    /** Whether anything speaks against a request or a part. */
    isSuspected(digest: string): boolean {
        return this.quarantine.isSuspected(digest);
    }

    /** Merges records of other daemons; returns those that changed something here. */
    merge(records: readonly CrashRecord[]): readonly CrashRecord[] {
        this.sweep();
        const changedRecords = this.quarantine.merge(records, this.now());
        for (const { digest } of changedRecords) {
            if (this.isSuspected(digest) && this.wasRecentlyAnswered(digest)) {
                this.clear(digest);
            }
            else if (isPromptPartName(digest)) {
                this.logPart(digest);
                this.publishBegun(digest);
            }
            else {
                this.logState(digest);
            }
        }
        return changedRecords;
    }

    /** Records that a backend server crashed while running a request, and publishes it. */
    addCrash(digest: string, crash: CrashRecord["crashes"][number]): void {
        this.mergeAndPublish({ digest, crashes: [crash] });
    }

    /** Records that a backend server crashed while it read a prompt with these parts, or began to answer it, and publishes it. */
    addPartCrash(parts: readonly string[], crash: Crash): void {
        // Rare parts come late in a prompt; if two are quarantined for the same crashes, these are attributed to the rarer one.
        for (const digest of [...parts].reverse()) {
            this.mergeAndPublish({
                digest,
                crashes: [{ ...crash, share: this.partShares.shareOf(digest) }],
                begun: [...this.begunAnswers.recent(digest, this.now())],
            });
        }
    }

    /** Milliseconds of writing after which an answer has begun. */
    get begunAfter(): number {
        return this.options.rules.promptParts.begunAfter;
    }

    /** Records that the answer to a prompt with these parts has begun; publishes it for those that are suspected. */
    recordBegun(parts: readonly string[], attempt: string): void {
        if (attempt !== "") {
            this.begunAnswers.record(parts, attempt, this.now());
            this.partShares.record(parts);
            parts.forEach(part => this.publishBegun(part));
        }
    }

    /** Records that a request was answered in full, which clears it of earlier crashes: it didn't cause them. */
    recordAnswered(digest: string): void {
        this.answeredAt.set(digest, this.now());
        if (this.isSuspected(digest)) {
            this.clear(digest);
        }
    }

    /**
     * Whether the request was recently answered in full here. A request that many callers send is running somewhere
     * whenever servers crash; quarantined for that, it would be refused to all of them.
     */
    wasRecentlyAnswered(digest: string): boolean {
        return this.now() - (this.answeredAt.get(digest) ?? -Infinity) < answeredRetentionMilliseconds;
    }

    /** Releases a request on behalf of an operator; returns whether any crash counted against it. */
    release(digest: string, operator: string): boolean {
        const wasSuspected = this.isSuspected(digest);
        this.options.logger.info("an operator released a request", { content: digest, operator, wasSuspected });
        if (wasSuspected) {
            this.clear(digest);
        }
        return wasSuspected;
    }

    /** All requests that are quarantined now. */
    quarantined(): readonly QuarantineEntry[] {
        return this.quarantine.quarantined(this.now());
    }

    /** Number of the latest change that has to reach other daemons. */
    latestChange(): number {
        return this.quarantine.latestChange();
    }

    /** Records that changed after that number and have to reach other daemons. */
    changedAfter(number: number): readonly CrashRecord[] {
        return this.quarantine.changedAfter(number, this.now());
    }

    /** The records of some requests; those without a record are left out. */
    records(digests: readonly string[]): readonly CrashRecord[] {
        return digests.flatMap(digest => this.quarantine.record(digest, this.now()) ?? []);
    }

    /** All records, including those with a single crash. */
    all(): readonly CrashRecord[] {
        return this.quarantine.all(this.now());
    }

    /** Sets the gauge of quarantined requests. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_requests_held_back", this.quarantined().length);
    }

    /** Removes expired records. Called only on merging: without new crashes the number of records doesn't grow. */
    private sweep(): void {
        const now = this.now();
        if (now - this.lastSweepAt > sweepIntervalMilliseconds) {
            this.lastSweepAt = now;
            this.quarantine.sweep(now);
        }
    }

    /** Publishes what speaks for a part, if it is suspected here and the others may not know it. */
    private publishBegun(part: string): void {
        if (this.isSuspected(part)) {
            const begun = this.begunAnswers.recent(part, this.now());
            if (begun.length > 0) {
                this.mergeAndPublish({ digest: part, crashes: [], begun: [...begun] });
            }
        }
    }

    private clear(digest: string): void {
        this.mergeAndPublish({ digest, crashes: [], clearedAge: 0 });
    }

    private mergeAndPublish(record: CrashRecord): void {
        if (this.merge([record]).length > 0) {
            this.options.publishRecords([record]);
        }
    }

    private logState(digest: string): void {
        const { logger } = this.options;
        const status = this.quarantineStatus(digest);
        if (status !== undefined) {
            const { left, crashes } = status;
            logger.warn("a request is held back", {
                content: digest,
                for: Math.round(left),
                crashes: describeCrashes(crashes),
            });
        }
        else if (!this.isSuspected(digest)) {
            logger.info("a request is cleared of all crashes", { content: digest });
        }
    }

    private logPart(part: string): void {
        const status = this.quarantineStatus(part);
        const { crashes = [], begun = [] } = this.records([part])[0] ?? {};
        const evidence = { content: part, crashes: describeCrashes(crashes), begun: begun.length };
        if (status !== undefined) {
            this.options.logger.warn("a part of prompts is held back", { ...evidence, for: Math.round(status.left) });
        }
        else {
            const suspected = this.isSuspected(part);
            this.options.logger.info("a part of prompts was on engines that crashed", { ...evidence, suspected });
        }
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}

/** The crashed backend servers as texts "SERVER AGE PHASE", with the age in milliseconds. */
export function describeCrashes(crashes: QuarantineStatus["crashes"]): string[] {
    return crashes.map(({ server, age, phase }) => `${server} ${Math.round(age)} ${phase}`);
}
