import type { ServerResponse } from "node:http";
import { Answer, type AnswerEnd, type RequestScope } from "../../coordination/request/index.js";
import { callerHeaders, errorBody, type Refusal, type StoredAnswer } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { ModelRequest } from "./modelRequest.js";
import { sendRefusal } from "./reply.js";

/** Options of an answer to a model request. */
export type ModelAnswerOptions = {
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
    protected readonly tokenTexts: string[] = [];
    protected readonly created: number;

    protected constructor(protected readonly options: ModelAnswerOptions) {
        super();
        this.created = Math.floor(options.clock.wall() / 1_000);
    }

    static create(options: ModelAnswerOptions): ModelAnswer {
        return options.request.stream ? new StreamedAnswer(options) : new BufferedAnswer(options);
    }

    /** Tells the caller that the request was refused or that the answer is incomplete. */
    abstract refuse(refusal: Refusal): void;

    protected envelope(kind: "whole" | "chunk"): Record<string, unknown> {
        const { request, requestId } = this.options;
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
    constructor(options: ModelAnswerOptions) {
        super(options);
    }

    override appendToken(text: string): undefined {
        this.tokenTexts.push(text);
    }

    override toStoredAnswer(end: AnswerEnd): StoredAnswer {
        return { status: 200, headers: { "content-type": "application/json" }, body: Buffer.from(this.body(end)) };
    }

    override finish(end: AnswerEnd): void {
        const body = this.body(end);
        this.options.response.writeHead(200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            [callerHeaders.requestId]: this.options.requestId,
        });
        this.options.response.end(body);
    }

    override refuse(refusal: Refusal): void {
        sendRefusal(this.options.response, refusal, this.options.requestId);
    }

    private body(end: AnswerEnd): string {
        const text = this.tokenTexts.join("");
        const content = this.options.request.form === "chat"
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
    private readonly eventPrefix: string;
    private readonly eventSuffix: string;
    private pendingOutput: string = "";
    private flushing = false;
    private headersWritten = false;

    constructor(options: ModelAnswerOptions) {
        super(options);
        // Only the text differs between the events of two tokens; the rest is serialised once.
        const [eventPrefix, eventSuffix] = this.event({ text: "\u0000" }).split("\"\\u0000\"") as [string, string];
        this.eventPrefix = eventPrefix;
        this.eventSuffix = eventSuffix;
    }

    override appendToken(text: string): Promise<void> | undefined {
        if (this.options.retainsText) {
            this.tokenTexts.push(text);
        }
        this.pendingOutput += this.eventPrefix + JSON.stringify(text) + this.eventSuffix;
        if (!this.headersWritten) {
            this.writeHeaders();
            this.flush();
        }
        else if (!this.flushing) {
            // Tokens that arrive together are sent in one write: a write for each would cost more than everything else.
            this.flushing = true;
            setImmediate(() => this.flush());
        }
        const bufferedLength = this.pendingOutput.length + this.options.response.writableLength;
        return bufferedLength > this.options.limits.waitingBytes ? this.waitForDrain() : undefined;
    }

    override toStoredAnswer(end: AnswerEnd): StoredAnswer {
        const text = this.eventPrefix + JSON.stringify(this.tokenTexts.join("")) + this.eventSuffix;
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
        this.options.response.end(this.pendingOutput + this.closingEvents(end));
        this.pendingOutput = "";
    }

    /** Destroys the connection if output was already sent, so that a truncated answer can't be mistaken for a complete one. */
    override refuse(refusal: Refusal): void {
        const { response, requestId } = this.options;
        if (!this.headersWritten) {
            sendRefusal(response, refusal, requestId);
            return;
        }
        const event = `event: error\ndata: ${JSON.stringify(errorBody(refusal, requestId))}\n\n`;
        response.write(this.pendingOutput + event, () => response.destroy());
        // The write never completes for a caller that doesn't read, and the connection would stay open.
        const cancelTimer = this.options.clock.after(errorEventTimeoutMilliseconds, () => response.destroy());
        response.once("close", cancelTimer);
        this.pendingOutput = "";
    }

    private writeHeaders(): void {
        this.headersWritten = true;
        this.options.response.writeHead(200, { ...eventHeaders, [callerHeaders.requestId]: this.options.requestId });
        this.pendingOutput = this.openingEvent() + this.pendingOutput;
    }

    private flush(): void {
        this.flushing = false;
        if (this.pendingOutput === "" || this.options.response.destroyed) {
            this.pendingOutput = "";
            return;
        }
        this.options.response.write(this.pendingOutput);
        this.pendingOutput = "";
    }

    /** Settles once the caller reads again or has disconnected. A caller that reads nothing for `stalledReader` milliseconds counts as disconnected. */
    private waitForDrain(): Promise<void> {
        this.flush();
        const { response, clock, scope, limits } = this.options;
        if (response.writableLength <= limits.waitingBytes) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const end = () => {
                cancelTimer();
                response.off("drain", end);
                response.off("close", end);
                scope.signal.removeEventListener("abort", end);
                resolve();
            };
            const cancelTimer = clock.after(limits.stalledReader, () => scope.stop("callerGone"));
            response.once("drain", end);
            response.once("close", end);
            scope.signal.addEventListener("abort", end, { once: true });
        });
    }

    private openingEvent(): string {
        return this.options.request.form === "chat" ? this.event({ role: "assistant", text: "" }) : "";
    }

    private closingEvents(end: AnswerEnd): string {
        const usage = this.options.request.includeUsage
            ? `data: ${JSON.stringify({ ...this.envelope("chunk"), choices: [], usage: this.usage(end) })}\n\n`
            : "";
        return `${this.event({ end: end.reason })}${usage}data: [DONE]\n\n`;
    }

    private event(part: { readonly text?: string; readonly role?: string; readonly end?: string; }): string {
        const { text, role, end } = part;
        const content = this.options.request.form === "chat"
            ? { delta: { role, content: text } }
            : { text: text ?? "" };
        const choices = [{ index: 0, ...content, finish_reason: end ?? jsonNull }];
        return `data: ${JSON.stringify({ ...this.envelope("chunk"), choices })}\n\n`;
    }
}
