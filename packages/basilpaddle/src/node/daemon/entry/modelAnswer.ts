import type { ServerResponse } from "node:http";
import { Answer, type AnswerEnd, type RequestScope } from "../../coordination/request/index.js";
import { callerHeaders, errorBody, type Refusal, type StoredAnswer } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { ModelRequest } from "./modelRequest.js";
import { sendRefusal } from "./reply.js";

/** Dependencies of an answer to a model request. */
export type ModelAnswerParts = {
    readonly request: ModelRequest;
    readonly requestId: string;
    readonly response: ServerResponse;
    readonly scope: RequestScope;
    readonly clock: Clock;
    readonly limits: { readonly waitingBytes: number; readonly stalledReader: number; };
    /** Whether the whole text is kept because the answer may be replayed. */
    readonly retainsText: boolean;
};

/** The API requires an explicit null as `finish_reason` until the answer ends. */
const jsonNull: unknown = JSON.parse("null");
/** How long a caller has to read the error event before its connection is destroyed. */
const errorEventTimeoutMilliseconds = 1_000;
const eventHeaders = { "content-type": "text/event-stream; charset=utf-8", "cache-control": "no-store" };

/** The answer to a model request in the format of the callers' API. */
export abstract class ModelAnswer extends Answer {
    protected readonly texts: string[] = [];
    protected readonly created: number;

    protected constructor(protected readonly parts: ModelAnswerParts) {
        super();
        this.created = Math.floor(parts.clock.wall() / 1_000);
    }

    static create(parts: ModelAnswerParts): ModelAnswer {
        return parts.request.stream ? new StreamedAnswer(parts) : new BufferedAnswer(parts);
    }

    /** Tells the caller that the request was refused or that the answer is incomplete. */
    abstract refuse(refusal: Refusal): void;

    protected envelope(kind: "whole" | "chunk"): Record<string, unknown> {
        const { request, requestId } = this.parts;
        const chat = request.form === "chat";
        const object = chat ? (kind === "whole" ? "chat.completion" : "chat.completion.chunk") : "text_completion";
        return {
            id: `${chat ? "chatcmpl" : "cmpl"}-${requestId}`,
            object,
            created: this.created,
            model: request.model,
        };
    }

    protected usage(end: AnswerEnd): Record<string, number> {
        return {
            prompt_tokens: end.promptTokens,
            completion_tokens: end.tokens,
            total_tokens: end.promptTokens + end.tokens,
        };
    }
}

class BufferedAnswer extends ModelAnswer {
    constructor(parts: ModelAnswerParts) {
        super(parts);
    }

    override token(text: string): undefined {
        this.texts.push(text);
    }

    override kept(end: AnswerEnd): StoredAnswer {
        return { status: 200, headers: { "content-type": "application/json" }, body: Buffer.from(this.body(end)) };
    }

    override finish(end: AnswerEnd): void {
        const body = this.body(end);
        this.parts.response.writeHead(200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            [callerHeaders.requestId]: this.parts.requestId,
        });
        this.parts.response.end(body);
    }

    override refuse(refusal: Refusal): void {
        sendRefusal(this.parts.response, refusal, this.parts.requestId);
    }

    private body(end: AnswerEnd): string {
        const text = this.texts.join("");
        const content = this.parts.request.form === "chat"
            ? { message: { role: "assistant", content: text } }
            : { text };
        return JSON.stringify({
            ...this.envelope("whole"),
            choices: [{ index: 0, ...content, finish_reason: end.reason }],
            usage: this.usage(end),
        });
    }
}

class StreamedAnswer extends ModelAnswer {
    private readonly head: string;
    private readonly tail: string;
    private pendingOutput: string = "";
    private flushing = false;
    private headersWritten = false;

    constructor(parts: ModelAnswerParts) {
        super(parts);
        // Only the text differs between the events of two tokens; the rest is serialised once.
        const [head, tail] = this.event({ text: "\u0000" }).split("\"\\u0000\"") as [string, string];
        this.head = head;
        this.tail = tail;
    }

    override token(text: string): Promise<void> | undefined {
        if (this.parts.retainsText) {
            this.texts.push(text);
        }
        this.pendingOutput += this.head + JSON.stringify(text) + this.tail;
        if (!this.headersWritten) {
            this.writeHeaders();
            this.flush();
        }
        else if (!this.flushing) {
            // Tokens that arrive together are sent in one write: a write for each would cost more than everything else.
            this.flushing = true;
            setImmediate(() => this.flush());
        }
        const bufferedLength = this.pendingOutput.length + this.parts.response.writableLength;
        return bufferedLength > this.parts.limits.waitingBytes ? this.waitForDrain() : undefined;
    }

    override kept(end: AnswerEnd): StoredAnswer {
        const text = this.head + JSON.stringify(this.texts.join("")) + this.tail;
        return {
            status: 200,
            headers: eventHeaders,
            body: Buffer.from(this.openingEvent() + text + this.closingEvents(end)),
        };
    }

    override finish(end: AnswerEnd): void {
        if (!this.headersWritten) {
            this.writeHeaders();
        }
        this.parts.response.end(this.pendingOutput + this.closingEvents(end));
        this.pendingOutput = "";
    }

    /** Destroys the connection if output was already sent, so that a truncated answer can't be mistaken for a complete one. */
    override refuse(refusal: Refusal): void {
        const { response, requestId } = this.parts;
        if (!this.headersWritten) {
            sendRefusal(response, refusal, requestId);
            return;
        }
        const event = `event: error\ndata: ${JSON.stringify(errorBody(refusal, requestId))}\n\n`;
        response.write(this.pendingOutput + event, () => response.destroy());
        // The write never completes for a caller that doesn't read, and the connection would stay open.
        const disarm = this.parts.clock.after(errorEventTimeoutMilliseconds, () => response.destroy());
        response.once("close", disarm);
        this.pendingOutput = "";
    }

    private writeHeaders(): void {
        this.headersWritten = true;
        this.parts.response.writeHead(200, { ...eventHeaders, [callerHeaders.requestId]: this.parts.requestId });
        this.pendingOutput = this.openingEvent() + this.pendingOutput;
    }

    private flush(): void {
        this.flushing = false;
        if (this.pendingOutput === "" || this.parts.response.destroyed) {
            this.pendingOutput = "";
            return;
        }
        this.parts.response.write(this.pendingOutput);
        this.pendingOutput = "";
    }

    /** Settles once the caller reads again or has disconnected. One that stops reading for too long counts as disconnected. */
    private waitForDrain(): Promise<void> {
        this.flush();
        const { response, clock, scope, limits } = this.parts;
        if (response.writableLength <= limits.waitingBytes) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const end = () => {
                disarm();
                response.off("drain", end);
                response.off("close", end);
                scope.signal.removeEventListener("abort", end);
                resolve();
            };
            const disarm = clock.after(limits.stalledReader, () => scope.stop("callerGone"));
            response.once("drain", end);
            response.once("close", end);
            scope.signal.addEventListener("abort", end, { once: true });
        });
    }

    private openingEvent(): string {
        return this.parts.request.form === "chat" ? this.event({ role: "assistant", text: "" }) : "";
    }

    private closingEvents(end: AnswerEnd): string {
        const usage = this.parts.request.includeUsage
            ? `data: ${JSON.stringify({ ...this.envelope("chunk"), choices: [], usage: this.usage(end) })}\n\n`
            : "";
        return `${this.event({ end: end.reason })}${usage}data: [DONE]\n\n`;
    }

    private event(part: { readonly text?: string; readonly role?: string; readonly end?: string; }): string {
        const { text, role, end } = part;
        const content = this.parts.request.form === "chat" ? { delta: { role, content: text } } : { text: text ?? "" };
        const choices = [{ index: 0, ...content, finish_reason: end ?? jsonNull }];
        return `data: ${JSON.stringify({ ...this.envelope("chunk"), choices })}\n\n`;
    }
}
