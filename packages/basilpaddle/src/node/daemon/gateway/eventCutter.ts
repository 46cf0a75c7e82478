/** A whole event of a stream, with the blank line that ends it. */
export type WholeEvent = { readonly bytes: Buffer; readonly id: number | undefined; };

/** Largest event in bytes; more without a blank line isn't a stream of events. */
const eventLimit = 1024 * 1024;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Cuts a stream into whole events. A backend server may break off in the middle of one; were a part passed on, what a
 * resumed run sends next would be joined to it.
 */
export class EventCutter {
    private rest: Buffer = Buffer.alloc(0);

    static create(): EventCutter {
        return new EventCutter();
    }

    /** Takes the next bytes and gives the events that they complete. Throws on an event over the limit. */
    push(chunk: Buffer): WholeEvent[] {
        this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: WholeEvent[] = [];
        for (let end = endOfEvent(this.rest); end > 0; end = endOfEvent(this.rest)) {
            const bytes = this.rest.subarray(0, end);
            events.push({ bytes, id: idOf(bytes) });
            this.rest = this.rest.subarray(end);
        }
        if (this.rest.length > eventLimit) {
            throw new RangeError(`${this.rest.length} bytes without the end of an event`);
        }
        return events;
    }

    /** Bytes of an event that hasn't ended. */
    pending(): number {
        return this.rest.length;
    }
}

/** Where the first event ends, its blank line included; 0 if it hasn't. */
function endOfEvent(bytes: Buffer): number {
    for (let at = bytes.indexOf(lineFeed); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
        if (bytes[at + 1] === lineFeed) {
            return at + 2;
        }
        if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
            return at + 3;
        }
    }
    return 0;
}

function idOf(event: Buffer): number | undefined {
    const digits = /(?:^|\n)id: ?(\d+)/.exec(event.toString("latin1"))?.[1];
    return digits === undefined ? undefined : Number(digits);
}
