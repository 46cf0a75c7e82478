import { expect } from "chai";
import { type Announced, incarnationOf } from "../../../protocol/index.js";
import { Announcements } from "../announcements.js";
import { EnginePlaces } from "../enginePlaces.js";
import { placingForAll } from "../enginePool.js";
import { InstanceTable } from "../instanceTable.js";
import { announced, demand, rule } from "./fakes.js";

/** Word of the incarnation of server `i` that started at the time; undefined for one that tells no start. */
function life(startedAt: number | undefined, given: Partial<Announced> = {}): Announced {
    const id = incarnationOf("i", startedAt);
    return announced({ id, ...startedAt === undefined ? {} : { name: "i", startedAt }, ...given });
}

function ready(table: InstanceTable): string[] {
    return table.usable("pool").map(({ id }) => id);
}

// Symptom: a server that crashed and is back under its name gets no work for minutes, or gets work by what was known of
// the life before.
// Sequence: the new life's heartbeats count from 1 again, after the life before had reached some hundreds.
// Cause: the name alone was taken for the incarnation.
describe("a backend server that is back under its name", () => {
    it("counts its heartbeats anew", () => {
        const table = InstanceTable.create();
        table.take(life(1_000, { sequence: 400 }));
        expect(table.take(life(2_000, { sequence: 1 }))).to.equal(true);
        expect(table.all().map(({ id, sequence }) => [id, sequence])).to.deep.equal([["i@2000", 1]]);
    });

    it("isn't touched by late word of the life before, in whichever order two directories tell of them", () => {
        const late = [
            life(1_000, { sequence: 401 }),
            life(1_000, { sequence: 402, state: "draining" }),
            life(1_000, { sequence: 402, state: "silent" }),
            life(1_000, { sequence: 402, state: "left" }),
        ];
        const after = InstanceTable.create();
        [life(2_000), ...late].forEach(word => after.take(word));
        const before = InstanceTable.create();
        [...late, life(2_000)].forEach(word => before.take(word));
        expect([ready(after), ready(before)]).to.deep.equal([["i@2000"], ["i@2000"]]);
    });

    it("isn't held to have ended because the life before had", () => {
        const table = InstanceTable.create();
        table.take(life(1_000));
        table.end("i@1000");
        table.take(life(2_000));
        expect(ready(table)).to.deep.equal(["i@2000"]);
        table.take(life(1_000, { sequence: 500 }));
        expect(ready(table)).to.deep.equal(["i@2000"]);
    });

    it("supersedes one that tells no start, and isn't superseded by one", () => {
        const table = InstanceTable.create();
        table.take(life(undefined, { sequence: 9 }));
        table.take(life(2_000));
        table.take(life(undefined, { sequence: 10 }));
        expect(ready(table)).to.deep.equal(["i@2000"]);
    });

    it("is passed on by the directory that hears it, with the end of the life before; late word of that isn't", () => {
        const heard = Announcements.create(1_000);
        heard.take(life(1_000, { sequence: 400 }), 0);
        expect(heard.take(life(2_000, { sequence: 1 }), 10)).to.equal(true);
        expect(heard.take(life(1_000, { sequence: 401 }), 20)).to.equal(false);
        expect(heard.since(1).map(({ id, state }) => [id, state])).to.deep.equal([
            ["i@1000", "left"],
            ["i@2000", "ready"],
        ]);
    });

    it("is silent by its own heartbeats, not by those of the life before", () => {
        const heard = Announcements.create(1_000);
        heard.take(life(1_000), 0);
        heard.take(life(2_000), 3_000);
        heard.markSilent(4_000);
        expect(heard.since(0).map(({ id, state }) => [id, state])).to.deep.include(["i@2000", "ready"]);
    });

    // The life before had room for nothing more, and had failed: neither may keep work from the new one.
    it("begins with empty places and without the failures of the life before", () => {
        const places = EnginePlaces.create(placingForAll);
        const small = { ...rule, slots: 1 };
        const failing = [
            life(1_000, { stage: "decode" }),
            announced({ id: "full", stage: "decode", address: "10.0.0.2:1" }),
        ];
        places.setEngines(failing, small);
        expect(places.ask(demand("first", { avoid: ["full"] }), 0)).to.have.length(1);
        expect(places.ask(demand("second"), 0)).to.have.length(1);
        places.release("first", { failed: "i@1000" }, 1);
        expect(places.ask(demand("third"), 2)).to.deep.equal([]);
        places.setEngines([life(2_000, { stage: "decode" }), failing[1]!], small);
        const [placed] = places.review(30);
        expect(placed).to.include({ kind: "placed", attempt: "third", decode: "i@2000" });
    });
});
