import { expect } from "chai";
import { hashToFraction } from "../fraction.js";

describe("the hash of a text as a fraction", () => {
    it("is deterministic and within bounds", () => {
        expect(hashToFraction("request-1")).to.equal(hashToFraction("request-1"));
        for (const text of ["", "a", "é".repeat(300)]) {
            expect(hashToFraction(text)).to.be.within(0, 1 - Number.EPSILON);
        }
    });

    it("distributes texts that differ only at their end uniformly", () => {
        const counts = new Array<number>(10).fill(0);
        for (let number = 0; number < 10_000; number++) {
            counts[Math.floor(hashToFraction(`request-${number}`) * 10)]! += 1;
        }
        expect(Math.min(...counts)).to.be.above(900);
        expect(Math.max(...counts)).to.be.below(1_100);
    });
});
