import { expect } from "chai";
import * as fc from "fast-check";
import { endOfSlice } from "../requestSlices.js";

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
                    const end = endOfSlice(bytes, wanted);
                    const begun = bytes.subarray(0, end).toString().split(/(?=GET|POST)/).length;
                    expect(end).to.be.within(1, bytes.length);
                    expect(begun).to.be.at.most(wanted + maxExcess);
                },
            ),
        );
    });

    it("is bounded where no empty line comes", () => {
        expect(endOfSlice(Buffer.alloc(100_000, "a"), 8)).to.equal(16_384);
    });
});
