import { expect } from "chai";
import * as fc from "fast-check";
import { EventBoundExceeded, EventSplitter } from "../eventSplitter.js";

const bounds = { eventBytes: 64, commentBytes: 48 };
/** Parts of streams, with line breaks of both kinds. */
const part = fc.oneof(
    fc.constantFrom("data: x\n", "id: 7\n", "\n", "\r\n", ": c\n", "x: y\n", "\r", "data", "\n\n"),
    fc.string({ maxLength: 90 }),
);
const stream = fc.array(part, { maxLength: 60 }).map(parts => Buffer.from(parts.join("")));

/** The events of a stream that arrives in chunks of a size, and the bound that ended it, if any. */
function split(bytes: Buffer, size: number): { readonly events: string[]; readonly bound: string | undefined; } {
    const splitter = EventSplitter.create(bounds);
    const events: string[] = [];
    for (let offset = 0; offset < bytes.length; offset += size) {
        try {
            for (const event of splitter.push(bytes.subarray(offset, offset + size))) {
                events.push(event.bytes.toString());
            }
        }
        catch (error) {
            if (!(error instanceof EventBoundExceeded)) {
                throw error;
            }
            return { events, bound: error.bound };
        }
        expect(splitter.pending()).to.be.at.most(bounds.eventBytes);
    }
    return { events, bound: undefined };
}

describe("an event splitter", function() {
    this.timeout(20_000);

    // Guards against bytes for which the splitter throws another error, or buffers more than its bound, in any chunks.
    it("finds the same events and the same bound, whatever the chunks", () => {
        fc.assert(
            fc.property(stream, fc.integer({ min: 1, max: 40 }), (bytes, size) => {
                expect(split(bytes, size)).to.deep.equal(split(bytes, 1));
            }),
            { seed: 4_711, numRuns: 300 },
        );
    });

    it("counts comments and other lines between two events, but not those of different events together", () => {
        const comments = ": c\n\n".repeat(9);
        expect(split(Buffer.from(`${comments}data: x\n\n${comments}`), 7).bound).to.equal(undefined);
        expect(split(Buffer.from(`${comments}${comments}`), 7).bound).to.equal("commentBytes");
    });

    // Guards against an event in small chunks for each of which all of it is copied and searched again.
    it("takes an event of a megabyte in chunks of 16 bytes within a second", () => {
        const splitter = EventSplitter.create();
        const chunk = Buffer.from("data: 0123456789");
        const startedAt = performance.now();
        for (let sent = 0; sent + chunk.length < 1_048_576; sent += chunk.length) {
            splitter.push(chunk).next();
        }
        expect([...splitter.push(Buffer.from("\n\n"))]).to.have.length(1);
        expect(performance.now() - startedAt).to.be.below(1_000);
    });

    // Guards against a log line with bytes of freed memory, which may be those of another request.
    it("names only received bytes of an event that exceeds its bound", () => {
        const splitter = EventSplitter.create(bounds);
        const push = (text: string): unknown => [...splitter.push(Buffer.from(text))];
        push("data: aaaa");
        push("b");
        try {
            push("c".repeat(bounds.eventBytes));
            expect.fail("the bound holds");
        }
        catch (error) {
            expect(error).to.be.instanceOf(EventBoundExceeded);
            expect((error as EventBoundExceeded).bytes.toString()).to.equal("data: aaaab");
        }
    });
});
