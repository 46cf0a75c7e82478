import { randomUUID } from "node:crypto";
import {
    blockTokens,
    type EngineRefusal,
    estimateTokens,
    type Generation,
    type PrefillAnswer,
} from "../../packages/basilpaddle/src/node/index.js";
import type { AttemptRecords } from "./attemptRecords.js";
import { wait } from "./httpServer.js";
import type { PrefixCache } from "./prefixCache.js";
import type { FakeEngineSettings } from "./settings.js";

type PrefillResult = {
    readonly attempt: string;
    readonly generation: Generation;
    readonly promptTokens: number;
    timer: NodeJS.Timeout;
};
type PrefillJob = { readonly abort: AbortController; readonly model: string; tokens: number; };

/** Milliseconds for which a result is kept after its transfer has begun, in case it is never released. */
const transferTimeoutMilliseconds = 10_000;

/** Computes prompts one after another, and keeps each result until it is transferred or evicted. */
export class PrefillQueue {
    private readonly jobs = new Map<string, PrefillJob>();
    private readonly results = new Map<string, PrefillResult>();
    private lastJob: Promise<void> = Promise.resolve();

    private constructor(
        private readonly settings: FakeEngineSettings,
        private readonly cache: PrefixCache,
        private readonly records: AttemptRecords,
        private readonly slowdownFactor: () => number,
    ) {}

    static create(
        settings: FakeEngineSettings,
        cache: PrefixCache,
        records: AttemptRecords,
        slowdownFactor: () => number,
    ): PrefillQueue {
        return new PrefillQueue(settings, cache, records, slowdownFactor);
    }

    /** Computes a prompt after those queued before it; undefined if the attempt was cancelled meanwhile. */
    async prefill(attempt: string, generation: Generation): Promise<PrefillAnswer | EngineRefusal | undefined> {
        if (this.jobs.size >= this.settings.slots) {
            return { notRun: true, code: "full", message: `${this.jobs.size} prompts are queued already` };
        }
        if (this.jobs.has(attempt)) {
            return { notRun: true, code: "badRequest", message: `${attempt} is queued already` };
        }
        const job: PrefillJob = { abort: new AbortController(), model: generation.model, tokens: 0 };
        this.jobs.set(attempt, job);
        const previousJob = this.lastJob;
        const { promise, resolve } = withResolvers();
        this.lastJob = promise;
        try {
            await previousJob;
            return await this.compute(attempt, generation, job);
        }
        finally {
            this.jobs.delete(attempt);
            resolve();
        }
    }

    /** Begins the transfer of a result, which isn't evicted meanwhile; undefined if there is no such result. */
    beginTransfer(handle: string): { readonly bytes: number; readonly promptTokens: number; } | undefined {
        const result = this.results.get(handle);
        if (result === undefined) {
            return undefined;
        }
        this.retain(handle, result, transferTimeoutMilliseconds);
        return { bytes: result.promptTokens * this.settings.bytesPerToken, promptTokens: result.promptTokens };
    }

    /** Deletes a result, after its transfer or on a cancel. */
    releaseResult(handle: string): void {
        clearTimeout(this.results.get(handle)?.timer);
        this.results.delete(handle);
    }

    cancel(attempt: string): void {
        this.jobs.get(attempt)?.abort.abort();
        for (const [handle, result] of this.results) {
            if (result.attempt === attempt) {
                this.releaseResult(handle);
            }
        }
    }

    /** Attempts that are queued, being computed or have a result here, of one model or of all. */
    active(model?: string): string[] {
        const jobs = [...this.jobs].filter(([, job]) => model === undefined || job.model === model);
        const results = [...this.results.values()]
            .filter(result => model === undefined || result.generation.model === model);
        return [...new Set([...jobs.map(([attempt]) => attempt), ...results.map(result => result.attempt)])];
    }

    queuedTokens(): number {
        return [...this.jobs.values()].reduce((sum, job) => sum + job.tokens, 0);
    }

    private async compute(
        attempt: string,
        generation: Generation,
        job: PrefillJob,
    ): Promise<PrefillAnswer | undefined> {
        if (job.abort.signal.aborted) {
            return undefined;
        }
        const promptTokens = estimateTokens(generation.prompt);
        const reusedTokens = this.cache.reuse(generation.prompt) * blockTokens;
        job.tokens = promptTokens - reusedTokens;
        this.records.of(attempt).prefills += 1;
        this.records.of(attempt).prefillTokens += job.tokens;
        await wait(job.tokens * this.settings.promptTokenTime * this.slowdownFactor(), job.abort.signal);
        if (job.abort.signal.aborted) {
            return undefined;
        }
        const handle = randomUUID();
        this.retain(handle, { attempt, generation, promptTokens, timer: setTimeout(() => {}, 0) });
        return { handle, promptTokens, reusedTokens, bytes: promptTokens * this.settings.bytesPerToken };
    }

    private retain(handle: string, result: PrefillResult, milliseconds = this.settings.evictAfter): void {
        clearTimeout(result.timer);
        result.timer = setTimeout(() => this.results.delete(handle), milliseconds);
        this.results.set(handle, result);
    }
}

function withResolvers(): { readonly promise: Promise<void>; readonly resolve: () => void; } {
    let resolve = () => {};
    const promise = new Promise<void>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}
