import { createParser } from "eventsource-parser";
import { readModelRequest } from "../../packages/basilpaddle/src/node/daemon/entry/modelRequest.js";
import type { EntrySettings, ErrorBody } from "../../packages/basilpaddle/src/node/index.js";
import { answerTokens } from "../standins/answer.js";
import { type Daemon, formatAddress } from "./daemon.js";
import { pause } from "./wait.js";

/** A model request as a caller sends it. */
export type ModelCall = {
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly stream?: boolean;
    readonly chat?: boolean;
    readonly organisation?: string;
    /** Marks the request non-idempotent. */
    readonly key?: string;
};

/** The outcome of one request, as its caller sees it. */
export type CallerAnswer = {
    /** HTTP status; 0 if the connection broke before a response. */
    readonly status: number;
    readonly text: string;
    /** Whether the answer arrived to its end. */
    readonly complete: boolean;
    readonly replayed: boolean;
    readonly error: ErrorBody["error"] | undefined;
    /** Milliseconds to the first token of a stream; `total` holds those to the end of the answer. */
    readonly firstToken: number | undefined;
    readonly total: number;
};

type StreamChunk = { choices: [{ text?: string; delta?: { content?: string; }; finish_reason?: string | null; }]; };

/** A client application that sends requests to an entry daemon. */
export class Caller {
    private constructor(private readonly entry: Daemon<EntrySettings>) {}

    static create(entry: Daemon<EntrySettings>): Caller {
        return new Caller(entry);
    }

    /** The only correct answer to the call: the stand-ins derive it from the prompt. */
    static expected(call: ModelCall): string {
        const request = readModelRequest(requestForm(call), requestBody(call)).unsafeCoerce();
        return answerTokens(request.prompt, call.maxTokens).join("");
    }

    /** Sends a model request once. `onToken` is called with the text received so far. */
    async requestCompletion(call: ModelCall, onToken: (text: string) => void = () => {}): Promise<CallerAnswer> {
        const started = performance.now();
        const path = call.chat === true ? "/v1/chat/completions" : "/v1/completions";
        try {
            const response = await fetch(`http://${formatAddress(this.entry.settings.callers)}${path}`, {
                method: "POST",
                headers: requestHeaders(call),
                body: JSON.stringify(requestBody(call)),
            });
            return await (call.stream === true && response.status === 200
                ? readStream(response, started, onToken)
                : readUnstreamed(response, started));
        }
        catch (error) {
            return brokenConnection(String(error), started);
        }
    }

    /** Retries a model request while its outcome is `not_run`, which any caller may do. The limit is in milliseconds. */
    async requestCompletionWithRetries(call: ModelCall, limit = 20_000): Promise<CallerAnswer> {
        const end = performance.now() + limit;
        for (;;) {
            const answer = await this.requestCompletion(call);
            if (answer.error?.outcome !== "not_run" || performance.now() > end) {
                return answer;
            }
            await pause(Math.min(500, (answer.error.retry_after ?? 0.1) * 1_000));
        }
    }

    /** Sends a request to a plain service. */
    async requestService(
        method: "GET" | "POST",
        path: string,
        key?: string,
    ): Promise<{ status: number; body: unknown; total: number; }> {
        const started = performance.now();
        const headers: Record<string, string> = key === undefined ? {} : { "idempotency-key": key };
        const response = await fetch(`http://${formatAddress(this.entry.settings.callers)}${path}`, {
            method,
            headers,
        });
        const text = await response.text();
        return { status: response.status, body: parseJson(text), total: performance.now() - started };
    }
}

function requestForm(call: ModelCall): "chat" | "completion" {
    return call.chat === true ? "chat" : "completion";
}

function requestBody(call: ModelCall): object {
    const { model, prompt, maxTokens: max_tokens, stream = false } = call;
    return call.chat === true
        ? { model, max_tokens, stream, messages: [{ role: "user", content: prompt }] }
        : { model, max_tokens, stream, prompt };
}

function requestHeaders(call: ModelCall): Record<string, string> {
    return {
        "content-type": "application/json",
        ...(call.organisation === undefined ? {} : { "basilpaddle-organisation": call.organisation }),
        ...(call.key === undefined ? {} : { "idempotency-key": call.key, "basilpaddle-non-idempotent": "true" }),
    };
}

async function readUnstreamed(response: Response, started: number): Promise<CallerAnswer> {
    const body = parseJson(await response.text()) as ErrorBody & {
        choices?: [{ text?: string; message?: { content: string; }; }];
    };
    const choice = body.choices?.[0];
    return {
        status: response.status,
        text: choice?.text ?? choice?.message?.content ?? "",
        complete: choice !== undefined,
        replayed: response.headers.get("basilpaddle-replayed") === "true",
        error: body.error,
        firstToken: undefined,
        total: performance.now() - started,
    };
}

async function readStream(response: Response, started: number, onToken: (text: string) => void): Promise<CallerAnswer> {
    let text = "";
    let complete = false;
    let firstToken: number | undefined;
    let error: ErrorBody["error"] | undefined;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                complete = true;
                return;
            }
            const delta = JSON.parse(data) as StreamChunk & Partial<ErrorBody>;
            error ??= delta.error;
            const added = delta.choices?.[0].text ?? delta.choices?.[0].delta?.content ?? "";
            if (added !== "") {
                firstToken ??= performance.now() - started;
                text += added;
                onToken(text);
            }
        },
    });
    const decoder = new TextDecoder();
    try {
        for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
            parser.feed(decoder.decode(chunk, { stream: true }));
        }
    }
    catch {
        complete = false;
    }
    const replayed = response.headers.get("basilpaddle-replayed") === "true";
    return { status: response.status, text, complete, replayed, error, firstToken, total: performance.now() - started };
}

function brokenConnection(message: string, started: number): CallerAnswer {
    const error = { code: "internal", outcome: "unknown", message } as const;
    return {
        status: 0,
        text: "",
        complete: false,
        replayed: false,
        error,
        firstToken: undefined,
        total: performance.now() - started,
    };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return { text };
    }
}
