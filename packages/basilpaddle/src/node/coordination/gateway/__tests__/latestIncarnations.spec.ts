import { expect } from "chai";
import { incarnationOf, type ServerAnnouncement } from "../../../protocol/index.js";
import { Announcements } from "../announcements.js";
import { leaderPlacementTuning } from "../enginePool.js";
import { InstanceTable } from "../instanceTable.js";
import { PlacementQueue } from "../placementQueue.js";
import { announced, rule, typicalPlacementRequest } from "./fakes.js";

/** An announcement of the incarnation of server `i` with the given start time; undefined for one that announces none. */
function incarnation(startedAt: number | undefined, overrides: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
    const id = incarnationOf("i", startedAt);
    return announced({ id, ...startedAt === undefined ? {} : { name: "i", startedAt }, ...overrides });
}

function ready(table: InstanceTable): string[] {
    return table.usable("pool").map(({ id }) => id);
}

// Guards against a restarted server that receives no requests for minutes, or requests by the tracked state of its previous
// incarnation: if the name alone identifies an incarnation, the heartbeats of the new one, which count from 1 again, are
// older than those of the previous one, which had reached some hundreds.
describe("a backend server that restarts under the same name", () => {
    it("starts its sequence numbers again", () => {
        const table = InstanceTable.create();
        table.apply(incarnation(1_000, { sequence: 400 }));
        expect(table.apply(incarnation(2_000, { sequence: 1 }))).to.equal(true);
        expect(table.all().map(({ id, sequence }) => [id, sequence])).to.deep.equal([["i@2000", 1]]);
    });

    it("isn't affected by delayed announcements of the previous incarnation, in whichever order they arrive", () => {
        const delayed = [
            incarnation(1_000, { sequence: 401 }),
            incarnation(1_000, { sequence: 402, state: "draining" }),
            incarnation(1_000, { sequence: 402, state: "silent" }),
            incarnation(1_000, { sequence: 402, state: "left" }),
        ];
        const after = InstanceTable.create();
        [incarnation(2_000), ...delayed].forEach(announcement => after.apply(announcement));
        const before = InstanceTable.create();
        [...delayed, incarnation(2_000)].forEach(announcement => before.apply(announcement));
        expect([ready(after), ready(before)]).to.deep.equal([["i@2000"], ["i@2000"]]);
    });

    it("doesn't count as ended because the previous incarnation has ended", () => {
        const table = InstanceTable.create();
        table.apply(incarnation(1_000));
        table.end("i@1000");
        table.apply(incarnation(2_000));
        expect(ready(table)).to.deep.equal(["i@2000"]);
        table.apply(incarnation(1_000, { sequence: 500 }));
        expect(ready(table)).to.deep.equal(["i@2000"]);
    });

    it("supersedes an incarnation without a start time, and isn't superseded by one", () => {
        const table = InstanceTable.create();
        table.apply(incarnation(undefined, { sequence: 9 }));
        table.apply(incarnation(2_000));
        table.apply(incarnation(undefined, { sequence: 10 }));
        expect(ready(table)).to.deep.equal(["i@2000"]);
    });

    it("is forwarded with the end of the previous incarnation, whose delayed heartbeats aren't", () => {
        const announcements = Announcements.create(1_000);
        announcements.apply(incarnation(1_000, { sequence: 400 }), 0);
        expect(announcements.apply(incarnation(2_000, { sequence: 1 }), 10)).to.equal(true);
        expect(announcements.apply(incarnation(1_000, { sequence: 401 }), 20)).to.equal(false);
        expect(announcements.changedAfter(1).map(({ id, state }) => [id, state])).to.deep.equal([
            ["i@1000", "left"],
            ["i@2000", "ready"],
        ]);
    });

    it("becomes silent by its own heartbeats, not by those of the previous incarnation", () => {
        const announcements = Announcements.create(1_000);
        announcements.apply(incarnation(1_000), 0);
        announcements.apply(incarnation(2_000), 3_000);
        announcements.markSilent(4_000);
        expect(announcements.changedAfter(0).map(({ id, state }) => [id, state])).to.deep.include(["i@2000", "ready"]);
    });

    // The previous incarnation was full and had failed: neither may keep requests from the new one.
    it("starts without the allocations and failures of the previous incarnation", () => {
        const queue = PlacementQueue.create(leaderPlacementTuning);
        const singleSlotRule = { ...rule, slots: 1 };
        const failing = [
            incarnation(1_000, { stage: "decode" }),
            announced({ id: "full", stage: "decode", address: "10.0.0.2:1" }),
        ];
        queue.setEngines(failing, singleSlotRule);
        expect(queue.enqueueRequest(typicalPlacementRequest("first", { avoid: ["full"] }), 0)).to.have.length(1);
        expect(queue.enqueueRequest(typicalPlacementRequest("second"), 0)).to.have.length(1);
        queue.release("first", { failed: "i@1000" }, 1);
        expect(queue.enqueueRequest(typicalPlacementRequest("third"), 2)).to.deep.equal([]);
        queue.setEngines([incarnation(2_000, { stage: "decode" }), failing[1]!], singleSlotRule);
        const [placed] = queue.review(30);
        expect(placed).to.include({ kind: "placed", attempt: "third", decode: "i@2000" });
    });
});
