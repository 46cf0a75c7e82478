import { expect } from "chai";
import { crowdViolations } from "../crowdViolations.js";
import type { SoakRequest } from "../soakRequest.js";

const crowd = { from: 1_000, to: 5_000 };
const noticeMilliseconds = 1_000;

function requests(sentAt: number, served: number, refused: number): SoakRequest[] {
    return Array.from({ length: served + refused }, (_, index) => ({
        attempt: `a${sentAt}-${index}`,
        kind: "safe",
        gateway: "gateway-1",
        key: { key: "k", organisation: "o" } as unknown as SoakRequest["key"],
        sentAt,
        runs: [],
        resumes: undefined,
        versions: [],
        end: { kind: "answered", status: index < served ? 200 : 503, sealed: index < served, right: true },
        endedAt: sentAt + 10,
    }));
}

describe("a crowded gateway in the soak", () => {
    it("is reported if it serves less than three quarters of the share of other times", () => {
        const seen = crowdViolations([...requests(0, 20, 0), ...requests(3_000, 14, 6)], [crowd], noticeMilliseconds);
        expect(seen).to.deep.equal(["14 of 20, 20 of 20 at other times"]);
    });

    it("isn't reported for requests sent before it could be noticed, nor from three quarters on", () => {
        const compared = [...requests(0, 20, 0), ...requests(3_000, 15, 5), ...requests(1_500, 0, 20)];
        expect(crowdViolations(compared, [{ ...crowd }], noticeMilliseconds)).to.deep.equal(
            ["15 of 20, 20 of 40 at other times"].slice(1),
        );
    });
});
