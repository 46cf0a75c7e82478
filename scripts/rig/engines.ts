import { LRUCache } from "lru-cache";
import { type Announcement, announcementSchema, type LoadReport } from "../../packages/basilpaddle/src/node/index.js";
import { engineModel, stepTime } from "./deployments.js";
import type { Simulation } from "./simulation.js";

/** Common part of simulated prefill and decode engines. */
export abstract class SimulatedEngine {
    alive = true;
    /** Simulated time at which the link has finished all transfers that were started. */
    linkFreeAt = 0;
    protected sequence = 0;
    readonly announcement: Announcement;

    protected constructor(
        protected readonly simulation: Simulation,
        readonly id: string,
        readonly domain: string,
        role: "prefill" | "decode",
    ) {
        this.announcement = announcementSchema.parse({
            id,
            incarnation: 1,
            url: `http://127.0.0.1:1/${id}`,
            failureDomain: domain,
            role,
            pool: "drafts",
            models: [{ name: "draft", version: "v1" }],
            slots: engineModel.slots,
            linkRate: engineModel.linkBytesPerMillisecond * 1_000,
        });
    }

    /** Creates a load report of the current state. */
    abstract report(): LoadReport;
}

type PrefillJob = {
    readonly attempt: string;
    readonly promptTokens: number;
    readonly prefixes: readonly string[];
    readonly onDone: (reusedTokens: number) => void;
};

/** Simulated prefill engine: processes prompts one at a time and keeps prefix blocks in an LRU cache of limited size. */
export class PrefillEngine extends SimulatedEngine {
    /** Milliseconds for which the engine was busy. */
    busyTime = 0;
    private readonly queue: PrefillJob[] = [];
    private running: { readonly job: PrefillJob; readonly startedAt: number; } | undefined;
    private cacheEvents: NonNullable<LoadReport["cache"]>["events"] = [];
    private eventSequence = 0;
    private readonly cache = new LRUCache<string, true>({
        max: engineModel.cacheBlocks,
        dispose: (_, prefix, reason) => {
            if (reason === "evict") {
                this.cacheEvents.push({ kind: "evicted", prefix });
            }
        },
    });

    static create(simulation: Simulation, id: string, domain: string): PrefillEngine {
        return new PrefillEngine(simulation, id, domain, "prefill");
    }

    /** Prompt tokens of queued and running jobs. */
    get queuedTokens(): number {
        const running = this.running?.job.promptTokens ?? 0;
        return this.queue.reduce((sum, job) => sum + job.promptTokens, running);
    }

    submit(job: PrefillJob): void {
        this.queue.push(job);
        this.startNext();
    }

    /** Cancels a job. Returns the milliseconds spent on it. */
    cancel(attempt: string): number {
        const position = this.queue.findIndex(job => job.attempt === attempt);
        if (position >= 0) {
            this.queue.splice(position, 1);
            return 0;
        }
        if (this.running?.job.attempt !== attempt) {
            return 0;
        }
        const spent = this.simulation.now - this.running.startedAt;
        this.busyTime += spent;
        this.running = undefined;
        this.startNext();
        return spent;
    }

    override report(): LoadReport {
        const cache = { firstSequence: this.eventSequence, events: this.cacheEvents };
        this.eventSequence += this.cacheEvents.length;
        this.cacheEvents = [];
        const running = this.running === undefined ? [] : [this.running.job.attempt];
        return {
            id: this.id,
            incarnation: 1,
            sequence: this.sequence++,
            active: [...running, ...this.queue.map(job => job.attempt)],
            queuedTokens: this.queuedTokens,
            tokenTime: engineModel.prefillTokenTime,
            cache,
        };
    }

    private startNext(): void {
        const job = this.running === undefined && this.alive ? this.queue.shift() : undefined;
        if (job === undefined) {
            return;
        }
        const reusedTokens = this.countReusedTokens(job.prefixes);
        const running = { job, startedAt: this.simulation.now };
        this.running = running;
        const time = engineModel.prefillOverhead + (job.promptTokens - reusedTokens) * engineModel.prefillTokenTime;
        this.simulation.after(time, () => {
            if (this.running !== running || !this.alive) {
                return;
            }
            this.busyTime += time;
            this.running = undefined;
            this.storeBlocks(job.prefixes);
            job.onDone(reusedTokens);
            this.startNext();
        });
    }

    private countReusedTokens(prefixes: readonly string[]): number {
        let blocks = 0;
        while (blocks < prefixes.length && this.cache.get(prefixes[blocks]!) !== undefined) {
            blocks++;
        }
        return blocks * engineModel.blockTokens;
    }

    private storeBlocks(prefixes: readonly string[]): void {
        for (const prefix of prefixes) {
            if (!this.cache.has(prefix)) {
                this.cacheEvents.push({ kind: "stored", prefix });
            }
            this.cache.set(prefix, true);
        }
    }
}

type DecodeJob = {
    readonly attempt: string;
    readonly tokens: number;
    readonly onFirstToken: () => void;
    readonly onDone: () => void;
    readonly startStep: number;
    firstTokenReported: boolean;
};

/** Simulated decode engine with continuous batching: each step generates one token per request and takes longer with more requests. */
export class DecodeEngine extends SimulatedEngine {
    /** Milliseconds for which slots were allocated, summed over all slots. */
    busyTime = 0;
    /** Attempts that have a slot allocated, also before they decode. */
    readonly slots = new Set<string>();
    private readonly batch = new Map<string, DecodeJob>();
    private steps = 0;
    private updatedAt = 0;
    private version = 0;

    static create(simulation: Simulation, id: string, domain: string): DecodeEngine {
        return new DecodeEngine(simulation, id, domain, "decode");
    }

    /** Allocates a slot. Returns false if none is free or the engine isn't running. */
    allocate(attempt: string): boolean {
        if (!this.alive || this.slots.size >= engineModel.slots) {
            return false;
        }
        this.updateCounters();
        this.slots.add(attempt);
        return true;
    }

    start(job: Pick<DecodeJob, "attempt" | "tokens" | "onFirstToken" | "onDone">): void {
        this.updateCounters();
        this.batch.set(job.attempt, { ...job, startStep: this.steps, firstTokenReported: false });
        this.scheduleNext();
    }

    /** Frees the slot. Returns the number of tokens that were generated. */
    free(attempt: string): number {
        this.updateCounters();
        const job = this.batch.get(attempt);
        this.batch.delete(attempt);
        this.slots.delete(attempt);
        this.scheduleNext();
        return job === undefined ? 0 : Math.floor(this.steps - job.startStep);
    }

    override report(): LoadReport {
        return {
            id: this.id,
            incarnation: 1,
            sequence: this.sequence++,
            active: [...this.slots],
            queuedTokens: 0,
            tokenTime: stepTime(this.batch.size),
        };
    }

    /** Updates the step counter and the busy time to the current time. */
    updateCounters(): void {
        const elapsed = this.simulation.now - this.updatedAt;
        this.updatedAt = this.simulation.now;
        this.busyTime += elapsed * this.slots.size;
        this.steps += this.batch.size === 0 ? 0 : elapsed / stepTime(this.batch.size);
    }

    private scheduleNext(): void {
        const version = ++this.version;
        let next = Infinity;
        for (const job of this.batch.values()) {
            next = Math.min(next, job.startStep + (job.firstTokenReported ? job.tokens : 1));
        }
        if (next === Infinity || !this.alive) {
            return;
        }
        this.simulation.after((next - this.steps) * stepTime(this.batch.size), () => {
            if (version === this.version && this.alive) {
                this.advance();
            }
        });
    }

    private advance(): void {
        this.updateCounters();
        for (const job of [...this.batch.values()]) {
            const generated = this.steps - job.startStep + 1e-6;
            if (!job.firstTokenReported && generated >= 1) {
                job.firstTokenReported = true;
                job.onFirstToken();
            }
            if (generated >= job.tokens) {
                this.batch.delete(job.attempt);
                this.slots.delete(job.attempt);
                job.onDone();
            }
        }
        this.scheduleNext();
    }
}
