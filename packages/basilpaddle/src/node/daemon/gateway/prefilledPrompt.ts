import type { ServerAnnouncement, ServiceRule } from "../../protocol/index.js";
import { drain, isAnswer, readWholeBody } from "../backends/index.js";
import type { BackendSender, ExchangeOptions, SendResult } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import { TimeLimit } from "./timeLimit.js";

/** Timeout of the call that frees a prompt's KV cache. */
const freeTimeoutMilliseconds = 1_200;

/** Maximum timeout of a prefill, as a constant and per token: well above what a prefill takes under load. */
const basePrefillTimeoutMilliseconds = 700;
const prefillTimeoutPerTokenMilliseconds = 0.1;
/**
 * Timeout of a prefill with a forecast: a multiple of the forecast, and a margin for the network and unforeseen delays. An
 * unresponsive engine keeps its connections open and answers nothing. With a timeout of a second, its requests would be late
 * at any other engine; with 0.6 s, those with prompts of usual length can still meet their target.
 */
const forecastFactor = 3;
const forecastMarginMilliseconds = 250;

/**
 * Timeout in milliseconds of a prefill: an engine whose host failed doesn't close its connections, and callers would
 * disconnect before an error is detected. `forecast`: expected duration of the prefill in milliseconds, if known.
 */
export function prefillTimeout(
    request: { readonly remainingTime: () => number; readonly metadata: { readonly promptTokens: number; }; },
    forecast: number | undefined,
): number {
    const maxTimeout = basePrefillTimeoutMilliseconds
        + request.metadata.promptTokens * prefillTimeoutPerTokenMilliseconds;
    const forecastTimeout = forecast === undefined
        ? maxTimeout
        : forecastMarginMilliseconds + forecastFactor * forecast;
    return Math.min(request.remainingTime(), maxTimeout, forecastTimeout);
}

/** One prefill. `forecast`: its expected duration in milliseconds, if known. `signal`: ends it. */
export type Prefill = {
    readonly request: CallerRequest;
    readonly service: ServiceRule;
    readonly engine: ServerAnnouncement;
    readonly forecast: number | undefined;
    readonly signal: AbortSignal;
};

/**
 * Sends the prefill of a request to an engine; returns the handle of the KV cache if there is one. The engine is judged by the time in which
 * this process can hear it, the request's remaining time by the host's clock.
 */
export async function requestPrefill(
    options: ExchangeOptions,
    sender: BackendSender,
    { request, service, engine, forecast, signal }: Prefill,
): Promise<{ readonly sent: SendResult; readonly handle: string | undefined; }> {
    const limit = TimeLimit.create(options.clock, request.remainingTime(), signal);
    const timeout = prefillTimeout(request, forecast);
    const stopJudging = options.loop.activeClock.after(timeout, () => limit.expire());
    try {
        const sent = await sender.send(request, engine, service, { prefillOnly: true }, limit.signal);
        const isAnswered = sent.kind === "answer" && sent.answer.status === 200;
        const bound = { server: engine, limits: options.answers, bound: "shortBodyBytes" } as const;
        const body = isAnswered ? await readWholeBody(sent.answer, bound) : undefined;
        const handle = isAnswered ? options.wire.parsePrefill(body?.toString("utf8") ?? "") : undefined;
        return { sent, handle };
    }
    finally {
        stopJudging();
        limit.clear();
    }
}

/** A prompt whose KV cache waits at its prefill engine for a decode engine. */
export type PrefilledPrompt = {
    readonly engine: ServerAnnouncement;
    readonly handle: string;
    readonly prefilledAt: number;
};

/** Frees the KV cache of a prompt that won't be decoded: otherwise it takes up memory until it expires. */
export function freePromptCache(options: ExchangeOptions, service: ServiceRule, prompt: PrefilledPrompt): void {
    if (options.instances.get(prompt.engine.id) === undefined) {
        return;
    }
    const { method, path, headers } = options.wire.freeHandle(prompt.handle);
    const call = {
        server: prompt.engine,
        method,
        path,
        headers: Object.entries(headers).flat(),
        body: undefined,
        signal: AbortSignal.timeout(freeTimeoutMilliseconds),
    };
    void options.paths.call(call, service.connectionLimit, options.gateways()).then(result => {
        if (isAnswer(result)) {
            drain(result, { server: prompt.engine, limits: options.answers });
        }
        else {
            options.logger.warn("failed to free a prompt's KV cache; it will expire", {
                engine: prompt.engine.id,
                ...result,
            });
        }
    });
}
