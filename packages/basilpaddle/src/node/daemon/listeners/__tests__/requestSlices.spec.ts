import { expect } from "chai";
import * as fc from "fast-check";
import { nextSlice } from "../requestSlices.js";

const shortest = "GET / HTTP/1.1\r\n\r\n";
/** Requests that begin beyond those that are wanted, since a slice has at least 64 bytes. */
const maxExcess = 3;

describe("a slice of requests sent ahead", () => {
    // Guards against a block of bytes whose requests all begin at once.
    it("has little more requests than are wanted, and every slice has bytes", () => {
        const request = fc.constantFrom(
            shortest,
            "GET /x HTTP/1.1\nA: b\n\n",
            `POST / HTTP/1.1\r\n\r\n${"\r\n".repeat(40)}`,
        );
        fc.assert(
            fc.property(
                fc.array(request, { minLength: 1, maxLength: 60 }),
                fc.integer({ min: 1, max: 9 }),
                (requests, wanted) => {
                    const bytes = Buffer.from(requests.join(""));
                    const { end } = nextSlice(bytes, "head", wanted);
                    const begun = bytes.subarray(0, end).toString().split(/(?=GET|POST)/).length;
                    expect(end).to.be.within(1, bytes.length);
                    expect(begun).to.be.at.most(wanted + maxExcess);
                },
            ),
        );
    });

    // Guards against a head that nothing counts, since a whole request came before it.
    it("has nothing of a head that isn't whole beside what came before it", () => {
        const bytes = Buffer.from(`${shortest}${shortest}GET /x HTTP/1.1\r\n${"a:\r\n".repeat(1_000)}`);
        expect(nextSlice(bytes, "head", 8)).to.deep.equal({ end: 2 * shortest.length, endsWithEmptyLine: true });
        expect(nextSlice(Buffer.from(`xy${shortest}`), { bodyLeft: 2 }, 8).end).to.equal(2);
    });

    it("is bounded where no empty line comes", () => {
        expect(nextSlice(Buffer.alloc(100_000, "a"), "head", 8)).to.deep.equal({
            end: 16_384,
            endsWithEmptyLine: false,
        });
    });
});
