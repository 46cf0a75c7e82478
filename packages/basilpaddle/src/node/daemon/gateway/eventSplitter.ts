/** A complete event of a stream, including the blank line that ends it. */
export type CompleteEvent = { readonly bytes: Buffer; readonly id: number | undefined; };

/** Largest event; more bytes without a blank line aren't an event stream. */
const maxEventBytes = 1024 * 1024;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Splits a stream into complete events. A backend server may disconnect in the middle of one; if a partial event were
 * forwarded, the first event of the resumed run would be appended to it.
 */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    static create(): EventSplitter {
        return new EventSplitter();
    }

    /** Adds the next bytes and returns the events that they complete. Throws a RangeError on an event over the limit. */
    push(chunk: Buffer): CompleteEvent[] {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: CompleteEvent[] = [];
        for (let end = eventEnd(this.buffered); end > 0; end = eventEnd(this.buffered)) {
            const bytes = this.buffered.subarray(0, end);
            events.push({ bytes, id: eventId(bytes) });
            this.buffered = this.buffered.subarray(end);
        }
        if (this.buffered.length > maxEventBytes) {
            throw new RangeError(`${this.buffered.length} bytes without an end of event`);
        }
        return events;
    }

    /** Number of buffered bytes of an incomplete event. */
    pending(): number {
        return this.buffered.length;
    }
}

/** Offset after the first event and its blank line; 0 if it is incomplete. */
function eventEnd(bytes: Buffer): number {
    for (let position = bytes.indexOf(lineFeed); position >= 0; position = bytes.indexOf(lineFeed, position + 1)) {
        if (bytes[position + 1] === lineFeed) {
            return position + 2;
        }
        if (bytes[position + 1] === carriageReturn && bytes[position + 2] === lineFeed) {
            return position + 3;
        }
    }
    return 0;
}

function eventId(event: Buffer): number | undefined {
    const digits = /(?:^|\n)id: ?(\d+)/.exec(event.toString("latin1"))?.[1];
    return digits === undefined ? undefined : Number(digits);
}
