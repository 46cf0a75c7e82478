import type { Announced, ServiceRule } from "../../protocol/index.js";
import { drain, isAnswer } from "../backends/index.js";
import type { ExchangeParts } from "./exchange.js";

/** Milliseconds for an engine to free a prompt's KV cache. */
const freeingTime = 1_200;

/** Milliseconds that the reading of a prompt may take, and for each of its tokens: well beyond what it takes under load. */
const readingPatience = 700;
const readingPatienceToken = 0.1;
/**
 * Times its forecast, and milliseconds for the way and for what nobody foresees, after which a reading is given up
 * sooner than that. An engine that has gone dark keeps its connections and answers nothing: given up after a second, its
 * requests are late at any other; after 0.6 s those of usual prompts can still be in time.
 */
const readingFactor = 3;
const readingMargin = 250;

/**
 * Milliseconds that a prefill engine has for a prompt: one that is gone closes no connection, and its caller leaves
 * meanwhile. `forecast`: milliseconds in which it should be read, where that is known.
 */
export function readingLimit(
    request: { readonly left: () => number; readonly facts: { readonly promptTokens: number; }; },
    forecast: number | undefined,
): number {
    const most = readingPatience + request.facts.promptTokens * readingPatienceToken;
    const foreseen = forecast === undefined ? most : readingMargin + readingFactor * forecast;
    return Math.min(request.left(), most, foreseen);
}

/** The KV cache of a read prompt that waits for its decode engine. */
export type ReadPrompt = { readonly engine: Announced; readonly handle: string; readonly readAt: number; };

/** Frees the KV cache of a prompt that nobody will take: it keeps room from others until it lapses. */
export function freePrompt(parts: ExchangeParts, service: ServiceRule, read: ReadPrompt): void {
    if (parts.instances.get(read.engine.id) === undefined) {
        return;
    }
    const { method, path, headers } = parts.wire.dropHandle(read.handle);
    const call = {
        server: read.engine,
        method,
        path,
        headers: Object.entries(headers).flat(),
        body: undefined,
        signal: AbortSignal.timeout(freeingTime),
    };
    void parts.connections.call(call, service.connectionLimit, parts.gateways()).then(result => {
        if (isAnswer(result)) {
            drain(result);
        }
        else {
            parts.logger.warn("a prompt's KV cache wasn't freed; it lapses", { engine: read.engine.id, ...result });
        }
    });
}
