import { expect } from "chai";
import fc from "fast-check";
import { BodyBuffer } from "../bodyBuffer.js";

/** Of the first block, and of the object of each buffer: what is held beside twice the bytes. */
const constantBytes = 2_048;

// Guards against bodies that hold far more than their bytes, since they come in very small parts.
describe("the buffer of a body", () => {
    it("gives the same whole, and holds at least its bytes and little more, for parts of any sizes", () => {
        const size = fc.oneof(
            fc.constant(1),
            fc.integer({ min: 0, max: 300 }),
            fc.integer({ min: 4_000, max: 70_000 }),
        );
        fc.assert(
            fc.property(fc.array(size, { maxLength: 60 }), fc.integer({ min: 1, max: 40 }), (sizes, repeated) => {
                const buffer = BodyBuffer.create();
                const parts = sizes.flatMap((length, index) =>
                    Array.from({ length: length < 300 ? repeated : 1 }, () => Buffer.alloc(length, index + 1))
                );
                parts.forEach(part => buffer.add(part));
                const whole = Buffer.concat(parts);
                expect(buffer.length).to.equal(whole.length);
                expect(buffer.heldBytes).to.be.within(whole.length, 2 * whole.length + constantBytes);
                expect(buffer.whole().equals(whole)).to.equal(true);
            }),
            { seed: 1, numRuns: 200 },
        );
    });
});
