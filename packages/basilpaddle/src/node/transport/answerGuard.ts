import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import type { DiagnosticsChannel } from "undici";

/** Number of received bytes that are kept for the log. */
const keptBytes = 64;
const minFinalStatus = 200;

/** A bound of what a server sends on a connection; `afterAnswer`: bytes while no answer is awaited. */
export type ConnectionBound = "headBytes" | "headTime" | "framingBytes" | "afterAnswer";

/** Bounds of one connection. */
export type AnswerGuardOptions = {
    readonly headBytes: number;
    /** Milliseconds. */
    readonly headTime: number;
    readonly framingBytes: number;
    /** Reports a bound that is exceeded, with the first bytes; returns the error that the connection is destroyed with. */
    readonly onExceeded: (bound: ConnectionBound, bytes: Buffer) => Error;
};

/** Guards by socket, and by the request in progress. undici reports its requests on channels of the whole process. */
const guardsBySocket = new WeakMap<Socket, AnswerGuard>();
const guardsByRequest = new WeakMap<object, AnswerGuard>();
let isSubscribed = false;

/**
 * Bounds what a server sends on a connection of undici, apart from the body: undici's parser reads empty lines, interim answers,
 * chunk extensions and a status line of any length without an end, and its timeout of a head would also limit the time
 * until the first byte. The guard counts the bytes that the parser reads, and undici's channels tell it what they were.
 */
export class AnswerGuard {
    private state: "idle" | "head" | "body" = "idle";
    /** Bytes of the head, or of framing since the last byte of the body. */
    private count = 0;
    private first: Buffer = Buffer.alloc(0);
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly socket: Socket, private readonly options: AnswerGuardOptions) {}

    /** Guards a connection, which must be idle, until it is closed. */
    static attach(socket: Socket, options: AnswerGuardOptions): void {
        subscribeOnce();
        const guard = new AnswerGuard(socket, options);
        guardsBySocket.set(socket, guard);
        const read = socket.read.bind(socket);
        socket.read = size => {
            const chunk = read(size) as Buffer | undefined;
            // Reading 0 bytes gives what a stream gives that has nothing to read.
            return guard.allows(chunk) ? chunk : read(0);
        };
        socket.prependListener("error", error => guard.recordError(error));
        socket.once("close", () => guard.stopTimer());
    }

    /** A request is being written to the connection. */
    begin(): void {
        this.state = "head";
        this.count = 0;
        this.first = Buffer.alloc(0);
    }

    /** The head of an answer is complete. */
    recordHead(): void {
        this.stopTimer();
        this.state = "body";
        this.count = 0;
    }

    /** The parser has found bytes of a body. */
    recordBody(): void {
        this.count = 0;
    }

    /** The answer is complete. */
    end(): void {
        this.stopTimer();
        this.state = "idle";
    }

    /** Examines what the parser is about to read; false if a bound is exceeded. */
    private allows(chunk: Buffer | undefined): boolean {
        if (!(chunk instanceof Buffer) || chunk.length === 0) {
            return true;
        }
        if (this.state === "idle") {
            return this.exceed("afterAnswer", chunk);
        }
        if (this.first.length < keptBytes) {
            this.first = Buffer.concat([this.first, chunk.subarray(0, keptBytes - this.first.length)]);
        }
        const { headBytes, headTime, framingBytes } = this.options;
        // What was counted before this chunk belongs to a head that isn't complete, or contained no body.
        if (this.state === "head" && this.count > headBytes) {
            return this.exceed("headBytes", this.first);
        }
        if (this.state === "body" && this.count > framingBytes) {
            return this.exceed("framingBytes", this.first);
        }
        if (this.state === "head") {
            this.timer ??= setTimeout(() => this.checkHead(), headTime);
        }
        this.count += chunk.length;
        return true;
    }

    /** Reads first what has arrived already: a timer fires before it if the process was blocked. */
    private checkHead(): void {
        setImmediate(() => {
            if (this.state === "head" && this.timer !== undefined && !this.socket.destroyed) {
                this.exceed("headTime", this.first);
            }
        });
    }

    private exceed(bound: ConnectionBound, bytes: Buffer): false {
        const error = this.options.onExceeded(bound, Buffer.from(bytes.subarray(0, keptBytes)));
        this.stopTimer();
        // Without an error, undici would take the end of the connection for that of an answer without a length.
        this.socket.destroy(error);
        return false;
    }

    /** Errors of the parser that stand for a bound: headers that are too large, and bytes right after an answer. */
    private recordError(error: NodeJS.ErrnoException): void {
        if (error.code === "UND_ERR_HEADERS_OVERFLOW") {
            this.options.onExceeded(this.state === "body" ? "framingBytes" : "headBytes", this.first);
        }
        else if (this.state === "idle" && error.name === "HTTPParserError") {
            this.options.onExceeded("afterAnswer", this.first);
        }
    }

    private stopTimer(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
    }
}

function subscribeOnce(): void {
    if (isSubscribed) {
        return;
    }
    isSubscribed = true;
    subscribe("undici:client:sendHeaders", message => {
        const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
        const guard = guardsBySocket.get(socket);
        if (guard !== undefined) {
            guardsByRequest.set(request, guard);
            guard.begin();
        }
    });
    subscribe("undici:request:headers", message => {
        const { request, response } = message as DiagnosticsChannel.RequestHeadersMessage;
        if (response.statusCode >= minFinalStatus) {
            guardsByRequest.get(request)?.recordHead();
        }
    });
    subscribe("undici:request:bodyChunkReceived", message => {
        guardsByRequest.get((message as { readonly request: object; }).request)?.recordBody();
    });
    subscribe("undici:request:trailers", message => {
        const { request } = message as DiagnosticsChannel.RequestTrailersMessage;
        guardsByRequest.get(request)?.end();
    });
}
