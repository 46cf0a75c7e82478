import { engineRefusalSchema, engineRefusalStatuses } from "../../protocol/index.js";
import type { EngineFailure } from "./engine.js";

const maxMessageLength = 500;

/** Statuses that a proxy may send without knowing whether the engine executed the request. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** The failure of a call of which no byte was sent, so that the engine can't have executed it. */
export function notSent(message: string): EngineFailure {
    return { kind: "notRun", code: undefined, message };
}

/** The failure of a call that may have been executed: it may have been sent, and no answer proves the opposite. */
export function unknownOutcome(message: string): EngineFailure {
    return { kind: "unknown", code: undefined, message };
}

/** Parses JSON. Returns undefined if the text isn't valid JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * Maps a complete response with a status other than 200 to a failure.
 *
 * Only a refusal body proves that nothing was run: a proxy may send a 503 without one after the engine has started.
 * Treating that as "not run" would run the request twice, and the caller could get two answers.
 */
export function failureFromResponse(status: number, body: string): EngineFailure {
    const refusal = engineRefusalSchema.safeParse(parseJson(body));
    if (refusal.success && engineRefusalStatuses.has(status)) {
        return { kind: "notRun", code: refusal.data.code, message: refusal.data.message };
    }
    const message = `the engine responded with status ${status}: ${body.slice(0, maxMessageLength)}`;
    if (status < 400 || gatewayStatuses.has(status)) {
        return unknownOutcome(message);
    }
    return { kind: "failed", code: undefined, message };
}
