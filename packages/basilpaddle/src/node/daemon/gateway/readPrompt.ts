import type { Announced, ServiceRule } from "../../protocol/index.js";
import { drain, isAnswer } from "../backends/index.js";
import type { ExchangeParts } from "./exchange.js";

/** Milliseconds for an engine to free a prompt's KV cache. */
const freeingTime = 1_200;

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
