import { expect } from "chai";
import { readLogLines } from "../explanation.js";
import { accountOf, type LossAccount } from "../lossAccount.js";

const options = { streamTarget: 900, plainTarget: 200, slice: 2_000 };

function account(...requests: readonly object[]): LossAccount {
    const texts = requests.map((facts, number) => {
        const at = new Date(1_700_000_000_000 + number).toISOString();
        return JSON.stringify({ at, level: "INFO", daemon: "g", message: "request", request: `${number}`, ...facts });
    });
    return accountOf(readLogLines(texts).lines, options);
}

const stream = (milliseconds: number, ...path: string[]): object => ({ end: "answered", milliseconds, path });

describe("the account of what requests lost", () => {
    it("finds what took most of the time to a late first event", () => {
        const { losses, whole } = account(
            stream(3_000, "placed leader 5", "read p done 120", "first 150", "run d done 2800"),
            stream(3_000, "placed leader 800", "read p done 120", "first 950", "run d done 2000"),
            stream(
                3_000,
                "placed leader 5",
                "read p failed 1064",
                "placed leader 5",
                "read q done 150",
                "first 1244",
                "run d done 1579",
            ),
            stream(3_000, "placed leader 57", "first 1624", "run d done 1347"),
        );
        expect(whole).to.equal(1);
        expect(losses.map(({ cause, count }) => [cause, count])).to.deep.equal([
            ["the wait for a place", 1],
            ["a reading that failed", 1],
            ["the run's own first event, its prompt read there or elsewhere", 1],
        ]);
    });

    it("tells pauses, plain answers that are late, and what was never answered", () => {
        const { losses } = account(
            stream(3_000, "placed leader 5", "read p done 120", "first 150", "pause 512", "run d done 2800"),
            { end: "answered", milliseconds: 400, path: ["s answered 390"] },
            { end: "refused", cause: "the first event would come in 1234 ms", milliseconds: 5, path: ["refused 5"] },
            { end: "refused", cause: "the first event would come in 99 ms", milliseconds: 5, path: ["refused 5"] },
            { end: "failed", cause: "RESET_BY_SERVER", milliseconds: 9, path: ["run d lost 280 (RESET_BY_SERVER)"] },
            { end: "callerGone", milliseconds: 2_000, path: ["placed leader 5", "read p failed 1900"] },
        );
        expect(losses.map(({ kind, cause, count }) => `${count} ${kind} ${cause}`)).to.have.members([
            "2 unserved refused: the first event would come in N ms",
            "1 late a pause within the stream",
            "1 late a call that was answered",
            "1 unserved failed: RESET_BY_SERVER",
            "1 unserved callerGone: its caller left while its prompt was read",
        ]);
        expect(losses.find(({ cause }) => cause.includes("RESET"))?.servers).to.deep.equal([{ id: "d", count: 1 }]);
    });

    it("names requests that were held back as one cause", () => {
        const cause = "backend servers ended under this request; it is held back";
        const held = { end: "refused", cause, milliseconds: 1, path: ["heldBack (i-a 900 early, i-b 300 early)"] };
        const { losses } = account(held, held);
        expect(losses.map(({ count, cause: told, servers }) => [count, told, servers])).to.deep.equal([
            [2, `refused: ${cause}`, [{ id: "none", count: 2 }]],
        ]);
    });

    it("counts prompts that were read in vain", () => {
        const { promptsRead, readInVain } = account(
            stream(
                900,
                "read p done 100",
                "run d turnedAway 9 (turned away with 503)",
                "read q done 90",
                "run e done 700",
            ),
            { end: "failed", cause: "x", milliseconds: 9, path: ["read p done 100", "run d lost 280 (x)"] },
        );
        expect([promptsRead, readInVain]).to.deep.equal([3, 2]);
    });

    it("passes over lines that aren't in form", () => {
        expect(account({ end: "answered", milliseconds: "soon" }).requests).to.equal(0);
    });
});
