import type * as http from "node:http";
import type { Holding } from "../backends/index.js";
import { endWhenSent } from "./answerEnd.js";

/** Bytes of an answer that are held until it is whole. */
const maxHeldBytes = 16 * 1024 * 1024;

/** Where a streamed answer is written; its caller can tell one that is finished from one that isn't. */
export abstract class StreamedAnswer {
    /** Begins an answer in the form that its caller can read. `holding`: counts what is held of it. */
    static create(
        response: http.ServerResponse,
        status: number,
        headers: readonly string[],
        holding: Holding,
    ): StreamedAnswer {
        const { httpVersionMajor, httpVersionMinor } = response.req;
        const readsChunks = httpVersionMajor > 1 || httpVersionMinor >= 1;
        return readsChunks
            ? new ChunkedAnswer(response, status, headers)
            : new HeldAnswer(response, status, headers, holding);
    }

    /** Writes bytes of the body; false if the caller's connection accepts no more for now. Throws if too much would be held. */
    abstract write(bytes: Buffer): boolean;

    /** Ends the answer as a whole one. */
    abstract finish(): void;
}

/** Sends each part as it comes, in chunks: whatever ends this process, the last chunk is missing then. */
class ChunkedAnswer extends StreamedAnswer {
    private pendingWrites = 0;
    private isFinished = false;
    private readonly onWritten = (): void => {
        this.pendingWrites -= 1;
        this.endIfSent();
    };

    constructor(private readonly response: http.ServerResponse, status: number, headers: readonly string[]) {
        super();
        response.writeHead(status, [...headers]);
        response.flushHeaders();
    }

    override write(bytes: Buffer): boolean {
        this.pendingWrites += 1;
        return this.response.write(bytes, this.onWritten);
    }

    override finish(): void {
        this.isFinished = true;
        this.endIfSent();
    }

    /** Ends the answer only once its events are with the operating system, like `endWhenSent`. */
    private endIfSent(): void {
        if (this.isFinished && this.pendingWrites === 0) {
            this.response.end();
        }
    }
}

/** Sends the answer with its length once it is whole: to a caller of HTTP/1.0, every end of the connection else looks like that of the answer. */
class HeldAnswer extends StreamedAnswer {
    private readonly parts: Buffer[] = [];
    private bytes = 0;

    constructor(
        private readonly response: http.ServerResponse,
        private readonly status: number,
        private readonly headers: readonly string[],
        private readonly holding: Holding,
    ) {
        super();
        response.once("close", () => holding.release());
    }

    override write(bytes: Buffer): boolean {
        this.bytes += bytes.length;
        if (!this.holding.tryReserve(bytes.length)) {
            throw new RangeError("no room for an answer to a caller of HTTP/1.0");
        }
        if (this.bytes > maxHeldBytes) {
            throw new RangeError(`an answer to a caller of HTTP/1.0 exceeds ${maxHeldBytes} bytes`);
        }
        this.parts.push(bytes);
        return true;
    }

    override finish(): void {
        const body = Buffer.concat(this.parts);
        this.response.writeHead(this.status, [...this.headers, "Content-Length", String(body.length)]);
        endWhenSent(this.response, body);
    }
}
