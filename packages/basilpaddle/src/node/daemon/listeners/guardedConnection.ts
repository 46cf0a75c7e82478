import type * as http from "node:http";
import type { Socket } from "node:net";
import { type ConnectionMemory, MemoryHolder } from "./connectionMemory.js";
import { type ParseTurns, TurnTaker } from "./parseTurns.js";
import { readOnlyWhileFlowing } from "./readControl.js";
import { nextSlice, type ParserState, type Slice } from "./requestSlices.js";
import { retainedByHead, retainedByRequest, retainedBytes } from "./retainedBytes.js";

/** Bytes that a connection with a request of usual size doesn't hold while it waits. */
const manyBytes = 65_536;
/** Time in milliseconds after which an idle connection may give way. */
const idleMilliseconds = 2_000;
/** Time in milliseconds without a byte taken after which a connection whose answers wait to be taken may give way. */
const unreadMilliseconds = 1_000;
/** Bytes beyond the limit of a head at which it is given up while it is read: one more slice. */
const headMarginBytes = 16_384;

/** Why a connection, or the request that it is sending, is given up. */
export type GivenUpCause =
    /** The connections together hold too much. */
    | "noRoom"
    /** Nothing came of a body for too long. */
    | "slowBody"
    | "headTooLong"
    /** There are too many connections. */
    | "connections";

/** What a connection needs of its listener. */
export type GuardedConnectionOptions = {
    readonly socket: Socket;
    readonly memory: ConnectionMemory;
    readonly turns: ParseTurns;
    readonly requestsAhead: number;
    /** Bytes of the largest head that the listener takes. */
    readonly headBytes: () => number;
    readonly now: () => number;
    /** Answers the request that isn't whole, or the connection if it has none, and closes it. */
    readonly giveUp: (connection: GuardedConnection, cause: GivenUpCause) => void;
};

/**
 * One connection of a listener. Its bytes reach the parser in slices, and only as long as few of its requests are in progress and there
 * is room for what the parser makes of them. The parser of Node's server would begin every request of a block of 64 KiB at once.
 */
export class GuardedConnection extends MemoryHolder {
    readonly socket: Socket;
    /** When the last bytes came, in milliseconds of the monotonic clock. */
    lastByteAt: number;
    /** When the last answer had been taken, or it was opened. */
    lastAnswerAt: number;
    private readonly responses = new Map<http.ServerResponse, number>();
    private lastRequest: http.IncomingMessage | undefined;
    private unparsed: Buffer | undefined;
    /** Bytes of a head, or of trailers and the framing before them, that were parsed and aren't whole. */
    private headBytes = 0;
    /** Bytes of the body that is being read. */
    private bodyBytes = 0;
    private requestBytes = 0;
    private isHeldBack = false;
    private isWaitingForTurn = false;
    private isGivenUp = false;
    private readonly taker: TurnTaker;
    private taken = { bytes: 0, at: 0 };

    private constructor(
        private readonly options: GuardedConnectionOptions,
        private readonly parse: (bytes: Buffer) => void,
    ) {
        super();
        this.socket = options.socket;
        this.taker = TurnTaker.create(() => this.takeTurn());
        this.lastByteAt = options.now();
        this.lastAnswerAt = this.lastByteAt;
    }

    /** Takes the place of the listener of an HTTP server's connection that hands its bytes to the parser. */
    static create(options: GuardedConnectionOptions): GuardedConnection {
        const { socket, memory } = options;
        const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        if (parse === undefined) {
            throw new Error("the HTTP server of a connection has no listener for its bytes");
        }
        const connection = new GuardedConnection(options, bytes => parse.call(socket, bytes));
        socket.removeListener("data", parse);
        socket.on("data", bytes => connection.receive(bytes));
        socket.on("resume", () => connection.parseOn());
        readOnlyWhileFlowing(socket);
        socket.once("close", () => connection.close());
        memory.update(connection, retainedBytes.connection);
        return connection;
    }

    /** Number of its requests that aren't answered yet. */
    requestsInProgress(): number {
        return this.responses.size;
    }

    /** Whether it has no request, and nothing of one has come. */
    isIdle(): boolean {
        return this.responses.size === 0 && this.headBytes === 0 && this.unparsed === undefined;
    }

    /** Whether bytes have come that the parser hasn't got yet. */
    hasUnparsed(): boolean {
        return this.unparsed !== undefined;
    }

    /** Whether it has had a request: one that was just opened waits for its first. */
    hadRequest(): boolean {
        return this.lastRequest !== undefined;
    }

    /** Whether it is given up, so that it ends soon. */
    hasEnded(): boolean {
        return this.isGivenUp;
    }

    /** The response to the request whose body isn't whole; undefined if there is none. */
    unfinishedResponse(): http.ServerResponse | undefined {
        const last = [...this.responses.keys()].at(-1);
        return last !== undefined && !last.req.complete && !last.headersSent ? last : undefined;
    }

    /** Counts a request that the parser has begun. */
    add(request: http.IncomingMessage, response: http.ServerResponse): void {
        const bytes = retainedByRequest(request);
        this.lastRequest = request;
        this.bodyBytes = 0;
        this.requestBytes += bytes;
        this.responses.set(response, bytes);
        response.once("close", () => this.remove(response));
        const push = request.push.bind(request);
        request.push = (chunk: Buffer | undefined, encoding) => {
            this.bodyBytes += chunk?.length ?? 0;
            return push(chunk, encoding);
        };
    }

    /** Whether nothing of it is being served: it sends a request, or reads no answers, or is idle for a while. */
    override mayGiveWay(): boolean {
        if (this.isGivenUp) {
            return false;
        }
        if (this.isIdle()) {
            return this.options.now() - Math.max(this.lastByteAt, this.lastAnswerAt) >= idleMilliseconds;
        }
        return this.isSending() || this.isUnread();
    }

    /** Whether it has no request beside one that isn't whole. */
    isSending(): boolean {
        return this.responses.size === (this.unfinishedResponse() === undefined ? 0 : 1);
    }

    override giveWay(): void {
        this.options.giveUp(this, "noRoom");
    }

    override onRoom(): void {
        this.readOn();
    }

    /** To be called once it is given up: nothing more of it is parsed. */
    end(): void {
        this.isGivenUp = true;
        this.unparsed = undefined;
        this.updateHeld();
    }

    private receive(bytes: Buffer): void {
        this.lastByteAt = this.options.now();
        if (!this.isGivenUp) {
            this.unparsed = this.unparsed === undefined ? bytes : Buffer.concat([this.unparsed, bytes]);
            this.parseOn();
        }
    }

    private parseOn(): void {
        const { socket, options: { memory } } = this;
        if (socket.isPaused()) {
            return;
        }
        // The server may have resumed it too, for the body of a request. Once it has paused it itself, it mustn't be resumed from here.
        this.isHeldBack = false;
        if (this.isWaitingForTurn) {
            this.holdBack();
            return;
        }
        while (this.unparsed !== undefined && !socket.destroyed && !socket.isPaused()) {
            if (this.isFull()) {
                this.holdBack();
                break;
            }
            const slice = nextSlice(this.unparsed, this.parserState(), this.requestsAhead() - this.responses.size);
            if (!this.isReadingBody() && !memory.hasRoom(this, retainedBytes.request + retainedByHead(slice.end))) {
                this.holdBack();
                this.endIfExceeded();
                break;
            }
            if (!this.options.turns.take(this.taker)) {
                this.waitForTurn();
                break;
            }
            this.parseSlice(this.unparsed, slice);
        }
        this.updateHeld();
    }

    /** Gives way at once if it holds much that can't be parsed now, so that a crowd's bytes aren't all read before any of it gives way. */
    private endIfExceeded(): void {
        this.updateHeld();
        if (this.options.memory.isExceeded() && this.held > manyBytes && this.mayGiveWay()) {
            this.giveWay();
        }
    }

    private parseSlice(bytes: Buffer, { end, endsWithEmptyLine }: Slice): void {
        const { lastRequest, bodyBytes } = this;
        this.unparsed = end < bytes.length ? bytes.subarray(end) : undefined;
        this.parse(end < bytes.length ? bytes.subarray(0, end) : bytes);
        const payload = this.bodyBytes - (this.lastRequest === lastRequest ? bodyBytes : 0);
        if (endsWithEmptyLine) {
            this.headBytes = 0;
        }
        else if (payload > 0) {
            this.headBytes = this.isReadingBody() ? end - payload : 0;
        }
        else {
            this.headBytes += end;
        }
        if (this.headBytes > this.options.headBytes() + headMarginBytes) {
            this.options.giveUp(this, "headTooLong");
        }
    }

    private parserState(): ParserState {
        if (!this.isReadingBody()) {
            return "head";
        }
        const length = this.lastRequest?.headers["content-length"];
        return length === undefined ? "chunks" : { bodyLeft: Number(length) - this.bodyBytes };
    }

    /** Whether all of its requests were answered, and its client has taken nothing of that for a while. */
    private isUnread(): boolean {
        const now = this.options.now();
        const bytes = this.socket.bytesWritten - this.socket.writableLength;
        if (bytes !== this.taken.bytes || this.taken.at === 0) {
            this.taken = { bytes, at: now };
        }
        return now - this.taken.at >= unreadMilliseconds
            && [...this.responses.keys()].every(({ writableEnded }) => writableEnded);
    }

    private isReadingBody(): boolean {
        return this.lastRequest?.complete === false;
    }

    private isFull(): boolean {
        return !this.isReadingBody() && this.responses.size >= this.requestsAhead();
    }

    private requestsAhead(): number {
        return this.options.memory.isTight() ? 1 : this.options.requestsAhead;
    }

    private holdBack(): void {
        this.isHeldBack = true;
        this.socket.pause();
        const { unparsed } = this;
        if (unparsed !== undefined && unparsed.length < unparsed.buffer.byteLength / 2) {
            // Otherwise a short rest keeps the whole block that it came in.
            this.unparsed = Buffer.from(unparsed);
        }
    }

    private readOn(): void {
        if (this.isHeldBack && !this.isWaitingForTurn) {
            this.isHeldBack = false;
            this.socket.resume();
        }
    }

    private waitForTurn(): void {
        this.isWaitingForTurn = true;
        this.holdBack();
        this.options.turns.wait(this.taker);
    }

    private takeTurn(): void {
        this.isWaitingForTurn = false;
        this.readOn();
    }

    private remove(response: http.ServerResponse): void {
        this.requestBytes -= this.responses.get(response) ?? 0;
        this.responses.delete(response);
        this.lastAnswerAt = this.options.now();
        this.taker.debt = this.isIdle() ? 0 : this.taker.debt;
        this.updateHeld();
        if (!this.isFull()) {
            this.readOn();
        }
    }

    private updateHeld(): void {
        const { unparsed, headBytes, requestBytes, socket } = this;
        if (!socket.destroyed) {
            const bytes = (unparsed?.buffer.byteLength ?? 0) + retainedByHead(headBytes) + requestBytes;
            this.options.memory.update(this, retainedBytes.connection + bytes);
        }
    }

    private close(): void {
        this.unparsed = undefined;
        this.options.turns.leave(this.taker);
        this.options.memory.release(this);
        process.nextTick(() => this.closeResponses());
    }

    /** Node closes only the response that is being written, and never those to the requests that were sent ahead of it. */
    private closeResponses(): void {
        [...this.responses.keys()].forEach(response => {
            response.destroy();
            response.emit("close");
        });
    }
}
