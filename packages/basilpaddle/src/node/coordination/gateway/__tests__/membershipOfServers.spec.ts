import { expect } from "chai";
import { Announcements } from "../announcements.js";
import { InstanceTable } from "../instanceTable.js";
import { announced } from "./fakes.js";

describe("announcements", () => {
    it("are passed on only where they say something new", () => {
        const heard = Announcements.create(1_000);
        expect(heard.take(announced({ id: "i", sequence: 1 }), 0)).to.equal(true);
        expect(heard.take(announced({ id: "i", sequence: 2 }), 1_000)).to.equal(false);
        expect(heard.take(announced({ id: "i", sequence: 3, state: "draining" }), 2_000)).to.equal(true);
        expect(heard.since(1).map(one => one.state)).to.deep.equal(["draining"]);
    });

    // Symptom: a server that said it drains gets work again.
    // Sequence: its heartbeat of before is held up by a cut and comes after the one that says so.
    it("that are late change nothing", () => {
        const heard = Announcements.create(1_000);
        heard.take(announced({ id: "i", sequence: 5, state: "draining" }), 0);
        expect(heard.take(announced({ id: "i", sequence: 4, state: "ready" }), 10)).to.equal(false);
        expect(heard.since(0)[0]).to.include({ state: "draining" });
    });

    it("end with leaving, also of a server that was never heard here", () => {
        const heard = Announcements.create(1_000);
        expect(heard.leave("i", 0)).to.equal(true);
        expect(heard.take(announced({ id: "i", sequence: 9 }), 10)).to.equal(false);
        expect(heard.since(0).map(one => [one.id, one.state])).to.deep.equal([["i", "left"]]);
    });

    it("turn silent after some missed heartbeats, once, and come back", () => {
        const heard = Announcements.create(1_000);
        heard.take(announced({ id: "i", sequence: 1 }), 0);
        expect(heard.markSilent(2_500)).to.equal(false);
        expect(heard.markSilent(3_500)).to.equal(true);
        expect(heard.markSilent(3_600)).to.equal(false);
        expect(heard.take(announced({ id: "i", sequence: 2 }), 4_000)).to.equal(true);
    });
});

// Symptom: after a directory was paused for two seconds no engine was ready for the rest of the day.
// Sequence: the engines' heartbeats go to a second directory meanwhile, and then to the first one again. The second one
// misses them and says so; the first one hears them all the time, and has nothing new to say.
// Cause: a heartbeat without news goes nowhere, so nobody contradicts the silence.
describe("the silence of a backend server at one directory", () => {
    const moved = (): { readonly first: Announcements; readonly second: Announcements; } => {
        const first = Announcements.create(1_000);
        const second = Announcements.create(1_000);
        first.take(announced({ id: "i", sequence: 1 }), 0);
        second.take(announced({ id: "i", sequence: 2 }), 1_000);
        for (let sequence = 3; sequence < 9; sequence++) {
            first.take(announced({ id: "i", sequence }), sequence * 1_000);
        }
        second.markSilent(5_000);
        return { first, second };
    };

    it("is contradicted by another directory that hears it", () => {
        const { first, second } = moved();
        const [word] = second.since(0);
        const before = first.newest();
        expect([word!.state, first.refutes(word!)]).to.deep.equal(["silent", true]);
        const table = InstanceTable.create();
        [...second.since(0), ...first.since(before)].forEach(one => table.take(one));
        expect(table.all().map(one => one.state)).to.deep.equal(["ready"]);
    });

    it("stands where nobody has heard it since, or all miss it", () => {
        const { first, second } = moved();
        const [word] = second.since(0);
        expect(first.refutes({ ...word!, sequence: 8 })).to.equal(false);
        first.markSilent(20_000);
        expect(first.refutes(word!)).to.equal(false);
        expect(second.refutes(word!)).to.equal(false);
    });
});

// Symptom: for a second after a loss of power everywhere all work goes to the first backend server that is heard of.
// Sequence: directories start again and know nobody; heartbeats come in one by one over their interval.
describe("backend servers that are remembered over a restart of their directories", () => {
    const recalled = (): Announcements => {
        const heard = Announcements.create(1_000);
        ["i", "j"].forEach(id => heard.recall(announced({ id, sequence: 40 }), 0));
        return heard;
    };

    // Symptom: after a restart of all directories each tells each gateway every server that any of them had heard.
    // Cause: what a directory remembered was what it believed, in place of what it had heard itself: the words of a thousand
    // servers are 130 KB, and came to each gateway as often as there are directories.
    it("are those that the directory heard itself, or remembered already", () => {
        const heard = Announcements.create(1_000);
        heard.take(announced({ id: "own", sequence: 1 }), 0);
        heard.take(announced({ id: "draining", sequence: 1, state: "draining" }), 0);
        heard.recall(announced({ id: "recalled", sequence: 1 }), 0);
        heard.recall(announced({ id: "elsewhere", sequence: 1 }), 0);
        heard.confirm(announced({ id: "elsewhere", sequence: 2 }));
        heard.leave("left", 0);
        expect(heard.memorable().map(({ id }) => id)).to.deep.equal(["own", "draining", "recalled"]);
    });

    it("are told at once, and again with their first heartbeat", () => {
        const heard = recalled();
        expect(heard.since(0).map(one => [one.id, one.state])).to.deep.equal([["i", "ready"], ["j", "ready"]]);
        expect(heard.take(announced({ id: "i", sequence: 41 }), 500)).to.equal(true);
        expect(heard.take(announced({ id: "i", sequence: 42 }), 1_500)).to.equal(false);
    });

    it("are silent after two heartbeats that didn't come", () => {
        const heard = recalled();
        heard.take(announced({ id: "i", sequence: 41 }), 500);
        expect(heard.markSilent(1_900)).to.equal(false);
        expect(heard.markSilent(2_100)).to.equal(true);
        expect(heard.since(0).map(one => [one.id, one.state])).to.deep.include(["j", "silent"]);
    });

    it("aren't called silent where another directory hears them", () => {
        const heard = recalled();
        heard.confirm(announced({ id: "j", sequence: 41 }));
        heard.confirm(announced({ id: "i", sequence: 40 }));
        expect(heard.markSilent(2_100)).to.equal(true);
        expect(heard.since(0).map(one => [one.id, one.state])).to.deep.equal([["i", "silent"]]);
    });
});

describe("the table of instances", () => {
    it("goes by the highest sequence number, whichever directory it came from", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "i", sequence: 4, state: "draining" }));
        table.take(announced({ id: "i", sequence: 3, state: "ready" }));
        expect(table.usable("pool")).to.deep.equal([]);
    });

    // Symptom: a sound server gets no work.
    // Sequence: it changes the directory that it reports to; the first one hears no more and calls it silent.
    it("doesn't take the silence at one directory for more than what another heard since", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "i", sequence: 4 }));
        table.take(announced({ id: "i", sequence: 5 }));
        table.take(announced({ id: "i", sequence: 4, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["i"]);
    });

    it("uses silent ones only where no other is left", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "i", sequence: 1, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["i"]);
        table.take(announced({ id: "j", sequence: 1 }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["j"]);
    });

    // Symptom: half of the requests to a server that was restarted are turned away for seconds.
    // Sequence: it crashes, and is back at its address as another incarnation; the one before still seems ready.
    // Cause: only missed heartbeats told that an incarnation had ended.
    it("doesn't use one at whose address another one was heard of later", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "old", sequence: 7 }));
        expect(table.take(announced({ id: "new", sequence: 1 }))).to.equal(true);
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["new"]);
        expect(table.all().map(one => one.state)).to.deep.equal(["silent", "ready"]);
    });

    // Symptom: a sound server gets no work any more.
    // Sequence: the heartbeat of its predecessor at the address is held up by a cut and comes after its own first one.
    it("uses the one that is really there again once the other one falls silent or is found ended", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "live", sequence: 1 }));
        table.take(announced({ id: "ghost", sequence: 40 }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["ghost"]);
        table.take(announced({ id: "ghost", sequence: 40, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["live"]);
        table.take(announced({ id: "other ghost", sequence: 3 }));
        table.end("other ghost");
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["live"]);
    });

    it("never brings one back that left or whose address another one has", () => {
        const table = InstanceTable.create();
        table.take(announced({ id: "i", sequence: 1 }));
        table.take(announced({ id: "i", sequence: 0, state: "left" }));
        table.take(announced({ id: "i", sequence: 9 }));
        table.take(announced({ id: "j", sequence: 1 }));
        table.end("j");
        table.take(announced({ id: "j", sequence: 9 }));
        expect(table.all()).to.deep.equal([]);
    });
});
