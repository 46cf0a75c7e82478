import { expect } from "chai";
import { readLogLines } from "../explanation.js";
import { type LossSummary, summariseLosses, summariseRouteLosses } from "../lossSummary.js";

const options = { streamTarget: 900, plainTarget: 200, slice: 2_000 };

function linesOf(requests: readonly object[]): ReturnType<typeof readLogLines>["lines"] {
    const texts = requests.map((facts, index) => {
        const at = new Date(1_700_000_000_000 + index).toISOString();
        return JSON.stringify({ at, level: "INFO", daemon: "g", message: "request", request: `${index}`, ...facts });
    });
    return readLogLines(texts).lines;
}

function summarise(...requests: readonly object[]): LossSummary {
    return summariseLosses(linesOf(requests), options);
}

const stream = (milliseconds: number, ...path: string[]): object => ({ end: "answered", milliseconds, path });

describe("the summary of late and unserved requests", () => {
    it("finds the phase that took most of the time to a late first event", () => {
        const { losses, whole } = summarise(
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

    it("lists pauses, late plain answers, and requests that were never answered", () => {
        const { losses } = summarise(
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

    // Guards against one count for requests that lost to a higher priority and for those that nobody could have served.
    it("tells requests that gave way from those without room, and by the priority that they gave way to", () => {
        const refused = (cause: string): object => ({ end: "refused", cause, milliseconds: 5, path: ["refused 5"] });
        const causes = ["gave way to rank 0", "gave way to rank 0", "gave way to rank 12", "no room in time"];
        const { losses } = summarise(...causes.map(refused));
        expect(losses.map(({ cause, count }) => `${count} ${cause}`)).to.have.members([
            "2 refused: gave way to rank 0",
            "1 refused: gave way to rank 12",
            "1 refused: no room in time",
        ]);
    });

    it("counts quarantined requests under one cause", () => {
        const cause = "backend servers ended under this request; it is held back";
        const quarantined = {
            end: "refused",
            cause,
            milliseconds: 1,
            path: ["heldBack (i-a 900 early, i-b 300 early)"],
        };
        const { losses } = summarise(quarantined, quarantined);
        expect(losses.map(({ count, cause: found, servers }) => [count, found, servers])).to.deep.equal([
            [2, `refused: ${cause}`, [{ id: "none", count: 2 }]],
        ]);
    });

    it("tells a missing key, an allowance that is used up and a full pool apart", () => {
        const { losses, requests } = summarise(
            { message: "request turned away", status: 401, cause: "no valid key" },
            { message: "request turned away", status: 401, cause: "no valid key" },
            { end: "overAllowance", cause: "the organisation's allowance is used up", milliseconds: 3 },
            { end: "refused", cause: "turned away with 503", milliseconds: 5 },
        );
        expect(requests).to.equal(4);
        expect(losses.map(({ count, cause }) => [count, cause])).to.deep.equal([
            [2, "turned away with 401: no valid key"],
            [1, "overAllowance: the organisation's allowance is used up"],
            [1, "refused: turned away with N"],
        ]);
    });

    it("counts wasted prefills", () => {
        const { promptsRead, readInVain } = summarise(
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

    // Guards against losses of one route that can't be told from those of the others.
    it("tells the routes apart, and how retries of refused requests ended", () => {
        const refused = { end: "refused", cause: "no room", milliseconds: 5, path: ["refused 5"] };
        const routes = summariseRouteLosses(
            linesOf([
                { ...refused, route: "a", content: "1" },
                { ...refused, route: "a", content: "2" },
                { ...refused, route: "b", content: "3" },
                { ...stream(3_000, "placed leader 5", "first 150"), route: "a", content: "1" },
                { ...refused, route: "a", content: "2" },
            ]),
            options,
        );
        expect(routes.map(({ route, requests, whole, retries }) => [route, requests, whole, retries])).to.deep.equal([
            ["a", 4, 1, { count: 2, answered: 1, refusedAgain: 1 }],
            ["b", 1, 0, { count: 0, answered: 0, refusedAgain: 0 }],
        ]);
    });

    it("skips malformed lines", () => {
        expect(summarise({ end: "answered", milliseconds: "soon" }).requests).to.equal(0);
    });
});
