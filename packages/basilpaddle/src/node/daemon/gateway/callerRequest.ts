import type * as http from "node:http";
import { digestOf } from "../../coordination/index.js";
import type { CallerLimits, TrafficRoute } from "../../protocol/index.js";
import type { BackendAnswer } from "../backends/index.js";
import type { CallerFacts } from "./gatewayWire.js";
import { passedOn } from "./headers.js";

/** Seconds that a time to come back is rounded to. */
const comeBackStep = 0.001;
const millisecondsInSecond = 1_000;

/** How a request ended, for logs and metrics. */
export type RequestEnd =
    | "answered"
    /** A backend server's own failure was passed on. */
    | "failureGiven"
    /** Turned away without having run. */
    | "refused"
    /** What became of it isn't known, or its time ran out. */
    | "failed"
    /** The answer began and broke off. */
    | "brokenOff"
    | "callerGone";

/** One request of a caller, whole, with what is known of it and the way to answer it. */
export class CallerRequest {
    readonly gone = new AbortController();
    private endedAs: RequestEnd | undefined;
    private cause = "";
    private digested: string | undefined;

    private constructor(
        readonly incoming: http.IncomingMessage,
        private readonly response: http.ServerResponse,
        readonly facts: CallerFacts,
        readonly route: TrafficRoute,
        readonly body: Buffer | undefined,
        readonly arrivedAt: number,
        private readonly now: () => number,
    ) {
        response.once("close", () => {
            if (!response.writableFinished) {
                this.gone.abort();
                this.end("callerGone", "the caller closed its connection");
            }
        });
    }

    static create(parts: {
        readonly incoming: http.IncomingMessage;
        readonly response: http.ServerResponse;
        readonly facts: CallerFacts;
        readonly route: TrafficRoute;
        readonly body: Buffer | undefined;
        readonly arrivedAt: number;
        readonly now: () => number;
    }): CallerRequest {
        const { incoming, response, facts, route, body, arrivedAt, now } = parts;
        return new CallerRequest(incoming, response, facts, route, body, arrivedAt, now);
    }

    /** Identifier of the attempt, for logs and for the scheduler. */
    get attempt(): string {
        return this.facts.attempt ?? "";
    }

    get method(): string {
        return this.incoming.method ?? "GET";
    }

    get target(): string {
        return this.incoming.url ?? "/";
    }

    /** Names what it holds: the same for each attempt that brings the same request, at any gateway. */
    get digest(): string {
        const { method, target, body } = this;
        this.digested ??= digestOf({ caller: this.incoming.headers.host ?? "", method, target, body });
        return this.digested;
    }

    /** When its answer must be whole: the caller's own limit or the route's, whichever comes first. */
    get answerBy(): number {
        return this.arrivedAt + Math.min(this.facts.deadlineWithin ?? this.route.timeout, this.route.timeout);
    }

    /** Milliseconds left until then. */
    left(): number {
        return this.answerBy - this.now();
    }

    /** Milliseconds since it arrived. */
    age(): number {
        return this.now() - this.arrivedAt;
    }

    isGone(): boolean {
        return this.gone.signal.aborted;
    }

    /** Whether its answer has begun. */
    hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** The caller's own headers as a backend server gets them, without those that only this system sets. */
    headers(reserved: ReadonlySet<string>): string[] {
        return passedOn(this.incoming.rawHeaders, reserved);
    }

    /** How it ended, and why; undefined while it hasn't. */
    outcome(): { readonly end: RequestEnd; readonly cause: string; } | undefined {
        return this.endedAs === undefined ? undefined : { end: this.endedAs, cause: this.cause };
    }

    /** Gives a whole answer of a backend server, status, headers and framing as they came. */
    give(answer: Pick<BackendAnswer, "status" | "rawHeaders" | "framed">, body: Buffer): void {
        if (this.isGone()) {
            return;
        }
        const { status, rawHeaders, framed } = answer;
        const headers = passedOn(rawHeaders, new Set());
        if (framed) {
            headers.push("Content-Length", String(body.length));
        }
        else {
            this.endWithConnection();
        }
        this.response.writeHead(status, headers);
        this.response.end(this.method === "HEAD" ? undefined : body);
        this.end(status < 400 ? "answered" : "failureGiven", `status ${status}`);
    }

    /** Begins a streamed answer. */
    begin(answer: Pick<BackendAnswer, "status" | "rawHeaders" | "framed">): void {
        if (!answer.framed) {
            this.endWithConnection();
        }
        this.response.writeHead(answer.status, passedOn(answer.rawHeaders, new Set()));
        this.response.flushHeaders();
    }

    /** Passes bytes of a streamed answer on; settles when the caller's connection takes more. */
    write(bytes: Buffer): Promise<void> {
        if (this.isGone() || this.response.write(bytes)) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const go = (): void => {
                this.response.off("drain", go);
                this.response.off("close", go);
                resolve();
            };
            this.response.on("drain", go);
            this.response.on("close", go);
        });
    }

    /** Ends a streamed answer as complete. */
    finish(): void {
        if (!this.isGone()) {
            this.response.end();
            this.end("answered", "stream");
        }
    }

    /**
     * Ends the request without an answer to give. One whose answer has begun is cut: an end in good order would pass
     * for a whole answer.
     */
    fail(status: 500 | 502 | 504, cause: string): void {
        if (this.hasBegun()) {
            this.end("brokenOff", cause);
            this.response.destroy();
            return;
        }
        this.own(status, cause, {});
        this.end("failed", cause);
    }

    /** Turns the request away. It has not run and never will; the caller may come back after so many milliseconds. */
    refuse(comeBackIn: number, cause: string): void {
        const seconds = Math.max(comeBackStep, Math.round(comeBackIn) / millisecondsInSecond);
        this.own(503, cause, { "Retry-After": String(seconds) });
        this.end("refused", cause);
    }

    /** Lets the answer end with the caller's connection, as it ended with the backend server's. */
    private endWithConnection(): void {
        this.response.useChunkedEncodingByDefault = false;
        this.response.shouldKeepAlive = false;
    }

    private own(status: number, cause: string, headers: Record<string, string>): void {
        if (!this.isGone()) {
            writeOwn(this.response, status, cause, headers);
        }
    }

    private end(end: RequestEnd, cause: string): void {
        if (this.endedAs === undefined) {
            this.endedAs = end;
            this.cause = cause;
        }
    }
}

/** Writes an answer of this daemon's own. */
export function writeOwn(
    response: http.ServerResponse,
    status: number,
    cause: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = Buffer.from(`${JSON.stringify({ error: cause })}\n`);
    response.writeHead(status, { ...headers, "Content-Type": "application/json", "Content-Length": body.length });
    response.end(body);
}

/**
 * Reads the whole body. A body is never passed on in part: a request can then be sent again whole, and a caller that
 * breaks off midway has not run. `tooLarge` comes as soon as the limit is passed; undefined where the caller broke off.
 */
export async function readBody(
    incoming: http.IncomingMessage,
    limits: CallerLimits,
): Promise<Buffer | "tooLarge" | undefined> {
    const announced = Number(incoming.headers["content-length"] ?? 0);
    if (announced > limits.bodyBytes) {
        return "tooLarge";
    }
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > limits.bodyBytes) {
                return "tooLarge";
            }
            chunks.push(chunk);
        }
    }
    catch {
        // The connection broke before the end of the body: nobody is left to be answered.
        return undefined;
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
