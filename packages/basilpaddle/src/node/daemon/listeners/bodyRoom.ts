import type * as http from "node:http";
import { getHeapStatistics } from "node:v8";
import { BodyBuffer, type Clock, type Logger, type Metrics } from "../../utils/index.js";
import { BoundedLog } from "./boundedLog.js";

/** Part of the heap's limit that bodies may take if no setting states another limit. */
const defaultHeapFraction = 1 / 10;
/** What is held for a body in blocks, over its bytes. */
const blocksOverhead = 1.25;

/** The limit in bytes if no setting states one: a part of the heap's, and at least room for one body of that many bytes. */
export function defaultRoomBytes(largestBody: number): number {
    return Math.max(
        Math.floor(getHeapStatistics().heap_size_limit * defaultHeapFraction),
        largestBody * blocksOverhead,
    );
}

/** Dependencies of `BodyRoom`. */
export type BodyRoomOptions = {
    /** Name of its listener or kind of bodies, for logs. */
    readonly listener: string;
    /** Bytes that all of its bodies together may hold. */
    readonly limit: number;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

type Body = { readonly buffer: BodyBuffer; readonly giveWay: () => void; };

/** Room for the bodies of one kind of calls. As soon as they hold too much together, the largest unfinished one gives way. */
export class BodyRoom {
    private readonly unfinished = new Set<Body>();
    private readonly log: BoundedLog;
    private used = 0;

    private constructor(private readonly options: BodyRoomOptions) {
        this.log = BoundedLog.create(options.logger, options.clock);
    }

    static create(options: BodyRoomOptions): BodyRoom {
        return new BodyRoom(options);
    }

    /** Bytes that its bodies hold now. */
    get bytes(): number {
        return this.used;
    }

    /**
     * Reads a whole body of at most `maxBytes`, and counts it until its response has ended. "tooLarge" or "noRoom" at once if it isn't
     * kept; then the rest isn't read. Rejects if the connection breaks before its end, or it is `abandoned`, since nobody waits for it any more.
     */
    read(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        maxBytes: number,
        abandoned?: AbortSignal,
    ): Promise<Buffer | "tooLarge" | "noRoom"> {
        return new Promise((resolve, reject) => {
            const end = (result: "tooLarge" | "noRoom"): void => {
                stop();
                release();
                resolve(result);
            };
            const body: Body = { buffer: BodyBuffer.create(), giveWay: () => end("noRoom") };
            let isReleased = false;
            const release = (): void => {
                this.unfinished.delete(body);
                this.used -= isReleased ? 0 : body.buffer.heldBytes;
                isReleased = true;
            };
            const stop = (): void => {
                request.off("data", onData).off("end", onEnd).off("error", onBroken).off("close", onBroken);
                abandoned?.removeEventListener("abort", onAbandoned);
                request.pause();
            };
            const onAbandoned = (): void => {
                release();
                onBroken(new Error("nobody waits for the body any more"));
            };
            const onData = (part: Buffer): void => {
                if (body.buffer.length + part.length > maxBytes) {
                    end("tooLarge");
                }
                else if (this.makeRoom(body, body.buffer.costOf(part))) {
                    this.used -= body.buffer.heldBytes;
                    body.buffer.add(part);
                    this.used += body.buffer.heldBytes;
                }
            };
            const onEnd = (): void => {
                stop();
                this.unfinished.delete(body);
                resolve(body.buffer.whole());
            };
            const onBroken = (error?: Error): void => {
                stop();
                reject(error ?? new Error("the connection broke before the end of the body"));
            };
            this.unfinished.add(body);
            response.once("close", release);
            abandoned?.addEventListener("abort", onAbandoned);
            request.on("data", onData).on("end", onEnd).on("error", onBroken).on("close", onBroken);
        });
    }

    /** Whether a body may hold that many more bytes, once larger ones have given way. */
    private makeRoom(body: Body, bytes: number): boolean {
        while (this.used + bytes > this.options.limit && this.unfinished.has(body)) {
            const largest = [...this.unfinished].reduce((one, other) =>
                other.buffer.heldBytes > one.buffer.heldBytes ? other : one
            );
            this.options.metrics.count("basilpaddle_bodies_given_way_total");
            this.log.warn("a body gave way: all bodies together reached the limit", {
                listener: this.options.listener,
                bytes: largest.buffer.heldBytes,
                held: this.used,
                limit: this.options.limit,
                bodies: this.unfinished.size,
            });
            largest.giveWay();
        }
        return this.unfinished.has(body);
    }
}
