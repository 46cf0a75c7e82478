import { expect } from "chai";
import { explain, readLogLines } from "../explanation.js";

const at = (milliseconds: number): string => new Date(1_700_000_000_000 + milliseconds).toISOString();
const line = (milliseconds: number, daemon: string, message: string, facts: object = {}): string => {
    return JSON.stringify({ at: at(milliseconds), level: "INFO", daemon, message, ...facts });
};
const endLine = line(5_400, "gateway-1", "request", {
    request: "r",
    end: "failed",
    cause: "RESET_BY_SERVER",
    milliseconds: 400,
    path: ["placed leader 3", "read p-1 done 110", "run d-2 lost 280 (RESET_BY_SERVER)"],
});

describe("the explanation of a request from logs", () => {
    it("contains its end and the related log lines, in order of time", () => {
        const { lines } = readLogLines([
            `${endLine}\n${line(5_000, "gateway-1", "a directory isn't reached any more")}`,
            line(4_000, "directory-1", "a backend server leaves", { id: "d-2" }),
        ]);
        const [attempt] = explain(lines, "r");
        expect(attempt).to.include({
            gateway: "gateway-1",
            end: "failed",
            cause: "RESET_BY_SERVER",
            arrivedAt: at(5_000),
        });
        expect(attempt!.beliefs.map(({ after, daemon }) => [after, daemon])).to.deep.equal([
            [-1_000, "directory-1"],
            [0, "gateway-1"],
        ]);
    });

    // Guards against a request at a server that leaves, without a line that tells why the gateway considered it ready.
    it("contains what its gateway last learnt of each of its servers, however long before", () => {
        const changed = (milliseconds: number, daemon: string, id: string, to: string): string =>
            line(milliseconds, daemon, "the known state of a backend server changed", { id, to });
        const { lines } = readLogLines([
            endLine,
            changed(-90_000, "gateway-1", "d-2", "draining"),
            changed(-80_000, "gateway-1", "d-2", "ready"),
            changed(-70_000, "gateway-2", "d-2", "draining"),
            changed(-70_000, "gateway-1", "d-9", "draining"),
            line(-95_000, "gateway-1", "a directory announced backend servers", {
                servers: ["p-1 ready 3", "d-2 ready 1"],
            }),
            line(-94_000, "gateway-1", "a directory announced backend servers", { servers: ["p-11 ready 3"] }),
        ]);
        const [attempt] = explain(lines, "r");
        expect(attempt!.beliefs.map(({ after, facts }) => [after, facts.id ?? facts.servers, facts.to])).to.deep.equal([
            [-100_000, ["p-1 ready 3", "d-2 ready 1"], undefined],
            [-85_000, "d-2", "ready"],
        ]);
    });

    it("contains lines of the gateway through which a call was relayed", () => {
        const relayed = line(5_400, "gateway-1", "request", {
            request: "r",
            milliseconds: 20,
            path: ["s answered 9 via g-3"],
        });
        const { lines } = readLogLines([relayed, line(5_395, "g-3", "a path to the backend servers has failed")]);
        expect(explain(lines, "r")[0]!.beliefs.map(({ daemon }) => daemon)).to.deep.equal(["g-3"]);
    });

    it("omits other requests, unrelated lines of other daemons and lines from long before", () => {
        const { lines } = readLogLines([
            endLine,
            line(5_300, "gateway-1", "request", { request: "other", milliseconds: 3 }),
            line(5_300, "gateway-2", "a directory isn't reached any more"),
            line(5_300, "directory-1", "a backend server leaves", { id: "d-9" }),
            line(-60_000, "gateway-1", "starting"),
        ]);
        expect(explain(lines, "r")[0]!.beliefs).to.deep.equal([]);
    });

    it("shows the crashes that quarantined a request, however long before and under whichever attempt", () => {
        const { lines } = readLogLines([
            line(-3_600_000, "gateway-2", "a backend server ended under a request", { request: "other", content: "c" }),
            line(-3_500_000, "gateway-1", "a request is held back", { content: "c" }),
            line(-3_500_000, "gateway-1", "a request is held back", { content: "d" }),
            line(5_000, "gateway-1", "request", { request: "r", content: "c", milliseconds: 1, end: "refused" }),
        ]);
        expect(explain(lines, "r")[0]!.beliefs.map(({ daemon }) => daemon)).to.deep.equal(["gateway-2", "gateway-1"]);
    });

    it("shows the crashes that quarantined a part of its prompt", () => {
        const { lines } = readLogLines([
            line(-3_500_000, "gateway-2", "a part of prompts is held back", { content: "part:b" }),
            line(-3_500_000, "gateway-3", "a part of prompts is held back", { content: "part:d" }),
            line(5_000, "gateway-1", "request", { request: "r", content: "c", promptParts: ["part:a", "part:b"] }),
        ]);
        expect(explain(lines, "r")[0]!.beliefs.map(({ daemon }) => daemon)).to.deep.equal(["gateway-2"]);
    });

    it("reads lines behind a collector's prefix, and counts what isn't a log line", () => {
        const { lines, unread } = readLogLines([`host-7 12.5 ${endLine}\nError: torn\n{"at":"20`]);
        expect([lines.length, unread]).to.deep.equal([1, 2]);
    });

    it("is empty for a request that no line names", () => {
        expect(explain(readLogLines([endLine]).lines, "unknown")).to.deep.equal([]);
    });
});
