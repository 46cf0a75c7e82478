import { request } from "undici";
import type { DecodeLine, EngineRefusal, Generation } from "../../packages/basilpaddle/src/node/index.js";
import { answerTokens } from "./answer.js";
import type { AttemptRecords } from "./attemptRecords.js";
import { wait } from "./httpServer.js";
import type { FakeEngineSettings } from "./settings.js";

/** Paths with which a fake decode engine fetches KV cache from a fake prefill engine, and releases it there afterwards. */
export const transferPath = { begin: "/engine/v1/export", release: "/engine/v1/exported" } as const;

/** Milliseconds for which a finished answer is kept, so that its stream can be resumed; it occupies no slot. */
const resumeWindowMilliseconds = 5_000;

type Phase = "importing" | "imported" | "decoding" | "done" | "failed";

/** An attempt on a decode engine, from its import until its answer is deleted. */
export type Decoding = {
    readonly attempt: string;
    readonly model: string;
    readonly tokens: readonly string[];
    readonly reason: "stop" | "length";
    readonly abort: AbortController;
    phase: Phase;
    produced: number;
    waiters: (() => void)[];
};

/** The prefill engine from which an import fetches KV cache, and the handle of that cache there. */
export type ImportSource = { readonly url: string; readonly handle: string; };

/** Decodes all running attempts as one batch: each step produces one token for every attempt. */
export class DecodeBatch {
    private readonly decodings = new Map<string, Decoding>();
    private linkBusyUntil = 0;
    private nextStepAt = 0;
    private timer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly settings: FakeEngineSettings,
        private readonly records: AttemptRecords,
        private readonly slowdownFactor: () => number,
    ) {}

    static create(settings: FakeEngineSettings, records: AttemptRecords, slowdownFactor: () => number): DecodeBatch {
        return new DecodeBatch(settings, records, slowdownFactor);
    }

    /** Allocates a slot and fetches the KV cache; undefined if the attempt was cancelled meanwhile. */
    async import(
        attempt: string,
        source: ImportSource,
        generation: Generation,
    ): Promise<{ readonly bytes: number; } | EngineRefusal | undefined> {
        if (this.active().length >= this.settings.slots) {
            return { notRun: true, code: "full", message: "no slot is free" };
        }
        if (this.decodings.has(attempt)) {
            return { notRun: true, code: "badRequest", message: `${attempt} was imported before` };
        }
        this.records.of(attempt).imports += 1;
        const decoding = createDecoding(attempt, generation);
        this.decodings.set(attempt, decoding);
        const bytes = await this.fetchKvCache(source, decoding.abort.signal).catch((error: unknown) => {
            this.cancel(attempt);
            throw error;
        });
        if (decoding.abort.signal.aborted) {
            return undefined;
        }
        if (bytes === undefined) {
            this.cancel(attempt);
            return { notRun: true, code: "evicted", message: `${source.handle} is evicted` };
        }
        decoding.phase = "imported";
        return { bytes };
    }

    find(attempt: string): Decoding | undefined {
        return this.decodings.get(attempt);
    }

    start(decoding: Decoding): void {
        this.records.of(decoding.attempt).decodes += 1;
        if (decoding.phase === "imported") {
            decoding.phase = "decoding";
            this.startSteps();
        }
    }

    /** Returns the lines from the offset on; waits for the next one if there is none yet. */
    async lines(decoding: Decoding, offset: number, signal: AbortSignal): Promise<DecodeLine[]> {
        while (decoding.produced <= offset && decoding.phase === "decoding" && !signal.aborted) {
            await new Promise<void>(resolve => decoding.waiters.push(resolve));
        }
        const lines: DecodeLine[] = decoding.tokens.slice(offset, decoding.produced)
            .map((text, index) => ({ kind: "token", offset: offset + index, text }));
        if (decoding.phase === "done") {
            lines.push({ kind: "end", offset: decoding.tokens.length, reason: decoding.reason });
        }
        else if (decoding.phase === "failed") {
            lines.push({ kind: "error", message: "the attempt was cancelled" });
        }
        return lines;
    }

    cancel(attempt: string): void {
        const decoding = this.decodings.get(attempt);
        if (decoding !== undefined) {
            decoding.phase = "failed";
            decoding.abort.abort();
            this.decodings.delete(attempt);
            notifyWaiters(decoding);
        }
    }

    /** Attempts to which a slot is allocated, of one model or of all. */
    active(model?: string): string[] {
        return [...this.decodings.values()]
            .filter(({ phase }) => phase !== "done" && phase !== "failed")
            .filter(decoding => model === undefined || decoding.model === model)
            .map(({ attempt }) => attempt);
    }

    close(): void {
        clearTimeout(this.timer);
    }

    private async fetchKvCache(source: ImportSource, signal: AbortSignal): Promise<number | undefined> {
        const response = await post(source.url + transferPath.begin, { handle: source.handle });
        if (response.status === 409) {
            return undefined;
        }
        if (response.status !== 200) {
            throw new Error(`the prefill engine returned status ${response.status}`);
        }
        const { bytes } = response.body as { readonly bytes: number; };
        const now = performance.now();
        this.linkBusyUntil = Math.max(now, this.linkBusyUntil)
            + bytes / this.settings.linkRate * 1_000 * this.slowdownFactor();
        await wait(this.linkBusyUntil - now, signal);
        await post(source.url + transferPath.release, { handle: source.handle }).catch(() => undefined);
        return bytes;
    }

    private startSteps(): void {
        if (this.timer === undefined) {
            this.nextStepAt = performance.now() + this.settings.tokenTime * this.slowdownFactor();
            this.scheduleStep();
        }
    }

    private scheduleStep(): void {
        this.timer = setTimeout(() => this.runSteps(), Math.max(0, this.nextStepAt - performance.now()));
    }

    private runSteps(): void {
        this.timer = undefined;
        const stepDuration = Math.max(this.settings.tokenTime * this.slowdownFactor(), 0.01);
        const steps = Math.max(1, 1 + Math.floor((performance.now() - this.nextStepAt) / stepDuration));
        this.nextStepAt += steps * stepDuration;
        let isDecoding = false;
        for (const decoding of this.decodings.values()) {
            if (decoding.phase === "decoding") {
                this.produce(decoding, steps);
                isDecoding ||= decoding.produced < decoding.tokens.length;
            }
        }
        if (isDecoding) {
            this.scheduleStep();
        }
    }

    private produce(decoding: Decoding, steps: number): void {
        const produced = Math.min(decoding.tokens.length, decoding.produced + steps);
        this.records.of(decoding.attempt).tokens += produced - decoding.produced;
        decoding.produced = produced;
        if (produced === decoding.tokens.length) {
            decoding.phase = "done";
            setTimeout(() => this.decodings.delete(decoding.attempt), resumeWindowMilliseconds).unref();
        }
        notifyWaiters(decoding);
    }
}

function createDecoding(attempt: string, generation: Generation): Decoding {
    const tokens = answerTokens(generation.prompt, generation.maxTokens);
    const reason = tokens.length === generation.maxTokens ? "length" : "stop";
    return {
        attempt,
        model: generation.model,
        tokens,
        reason,
        abort: new AbortController(),
        phase: "importing",
        produced: 0,
        waiters: [],
    };
}

/** Wakes the streams that wait for lines of the attempt, so that they check again. */
export function notifyWaiters(decoding: Decoding): void {
    const waiters = decoding.waiters;
    decoding.waiters = [];
    for (const notify of waiters) {
        notify();
    }
}

async function post(url: string, body: unknown): Promise<{ readonly status: number; readonly body: unknown; }> {
    const answer = await request(url, { method: "POST", body: JSON.stringify(body) });
    return { status: answer.statusCode, body: await answer.body.json() };
}
