import { expect } from "chai";
import { digestOf } from "../requestDigest.js";

const content = { caller: "a.example", method: "POST", target: "/x/1?y=2", body: Buffer.from("body") };

describe("the digest of a request", () => {
    it("is the same for the same caller, method, target and body", () => {
        expect(digestOf({ ...content, caller: "A.example", body: Buffer.from("body") })).to.equal(digestOf(content));
    });

    it("differs with each of them", () => {
        const others = [
            { ...content, caller: "b.example" },
            { ...content, method: "GET" },
            { ...content, target: "/x/1" },
            { ...content, body: Buffer.from("bodx") },
            { ...content, body: undefined },
        ];
        expect(new Set([content, ...others].map(digestOf)).size).to.equal(others.length + 1);
    });
});
