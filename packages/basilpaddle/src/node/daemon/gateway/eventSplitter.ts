import { type AnswerBounds, answerBoundsSchema } from "../../protocol/index.js";

/** A complete event of a stream, including the blank line that ends it. */
export type CompleteEvent = { readonly bytes: Buffer; readonly id: number | undefined; };

/** Bounds of a stream of events, in bytes. */
export type EventBounds = Pick<AnswerBounds, "eventBytes" | "commentBytes">;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** A line with a field of the event stream format; other lines are comments, or have no meaning. */
const fieldLine = /(?:^|\n)(?:data|event|id|retry)[:\r\n]/;

/** A stream that exceeds a bound; `bytes`: the beginning of what exceeds it. */
export class EventBoundExceeded extends Error {
    private constructor(readonly bound: keyof EventBounds, readonly bytes: Buffer, message: string) {
        super(message);
    }

    static create(bound: keyof EventBounds, bytes: Buffer, limit: number): EventBoundExceeded {
        return new EventBoundExceeded(bound, bytes, `the stream exceeds ${bound} ${limit}`);
    }
}

/**
 * Splits a stream into complete events. A backend server may disconnect in the middle of one; if a partial event were
 * forwarded, the first event of the resumed run would be appended to it.
 */
export class EventSplitter {
    /** Holds an incomplete event in its first `size` bytes. */
    private held: Buffer = Buffer.alloc(0);
    private size = 0;
    /** Whether the last byte ended a line, or was a carriage return right after it. */
    private lineState: "within" | "ended" | "return" = "within";
    /** Bytes of comments and other lines without a field since the last event. */
    private commentSize = 0;

    private constructor(private readonly bounds: EventBounds) {}

    /** `bounds`: bounds of events and comments. @default the default bounds */
    static create(bounds: EventBounds = answerBoundsSchema.parse({})): EventSplitter {
        return new EventSplitter(bounds);
    }

    /**
     * Adds the next bytes and yields the events that they complete; iterate to the end. Throws an `EventBoundExceeded` after the
     * events before what exceeds the bound.
     */
    *push(chunk: Buffer): Generator<CompleteEvent, void> {
        let start = 0;
        for (let end = this.eventEnd(chunk, start); end > start; end = this.eventEnd(chunk, start)) {
            yield this.complete(chunk.subarray(start, end));
            start = end;
        }
        if (start < chunk.length) {
            this.hold(chunk.subarray(start));
        }
    }

    /** Number of buffered bytes of an incomplete event. */
    pending(): number {
        return this.size;
    }

    /** Copies the bytes: a chunk of one byte may be part of a much larger buffer, which it would keep in memory. */
    private hold(bytes: Buffer): void {
        this.checkSize(bytes);
        const size = this.size + bytes.length;
        if (size > this.held.length) {
            const capacity = Math.max(size, Math.min(this.bounds.eventBytes, this.held.length * 2));
            const grown = Buffer.allocUnsafeSlow(capacity);
            this.held.copy(grown, 0, 0, this.size);
            this.held = grown;
        }
        bytes.copy(this.held, this.size);
        this.size = size;
    }

    private checkSize(bytes: Buffer): void {
        const { eventBytes } = this.bounds;
        if (this.size + bytes.length > eventBytes) {
            const seen = this.size > 0 ? this.held.subarray(0, this.size) : bytes;
            throw EventBoundExceeded.create("eventBytes", seen, eventBytes);
        }
    }

    /** Takes the event whose last bytes these are. */
    private complete(last: Buffer): CompleteEvent {
        this.checkSize(last);
        const { commentBytes } = this.bounds;
        const bytes = this.size === 0 ? last : Buffer.concat([this.held.subarray(0, this.size), last]);
        this.held = Buffer.alloc(0);
        this.size = 0;
        const text = bytes.toString("latin1");
        this.commentSize = fieldLine.test(text) ? 0 : this.commentSize + bytes.length;
        if (this.commentSize > commentBytes) {
            throw EventBoundExceeded.create("commentBytes", bytes, commentBytes);
        }
        return { bytes, id: eventId(text) };
    }

    /** Offset after the next event and its blank line; 0 if the chunk doesn't complete it. Examines each byte once. */
    private eventEnd(chunk: Buffer, start: number): number {
        let position = start;
        while (position < chunk.length) {
            const byte = chunk[position]!;
            if (byte === lineFeed && this.lineState !== "within") {
                this.lineState = "within";
                return position + 1;
            }
            if (byte === lineFeed || byte === carriageReturn && this.lineState === "ended") {
                this.lineState = byte === lineFeed ? "ended" : "return";
                position += 1;
                continue;
            }
            this.lineState = "within";
            const next = chunk.indexOf(lineFeed, position);
            position = next === -1 ? chunk.length : next;
        }
        return 0;
    }
}

function eventId(event: string): number | undefined {
    const digits = /(?:^|\n)id: ?(\d+)/.exec(event)?.[1];
    return digits === undefined ? undefined : Number(digits);
}
