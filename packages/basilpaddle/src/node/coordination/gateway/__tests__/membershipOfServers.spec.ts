import { expect } from "chai";
import { Announcements } from "../announcements.js";
import { InstanceTable } from "../instanceTable.js";
import { announced } from "./fakes.js";

describe("announcements", () => {
    it("are forwarded only if they contain a change", () => {
        const announcements = Announcements.create(1_000);
        expect(announcements.apply(announced({ id: "i", sequence: 1 }), 0)).to.equal(true);
        expect(announcements.apply(announced({ id: "i", sequence: 2 }), 1_000)).to.equal(false);
        expect(announcements.apply(announced({ id: "i", sequence: 3, state: "draining" }), 2_000)).to.equal(true);
        expect(announcements.changedAfter(1).map(one => one.state)).to.deep.equal(["draining"]);
    });

    // Guards against a draining server that receives requests again: a network partition delays an earlier heartbeat until
    // after the one that announces draining.
    it("change nothing if they are older than the known one", () => {
        const announcements = Announcements.create(1_000);
        announcements.apply(announced({ id: "i", sequence: 5, state: "draining" }), 0);
        expect(announcements.apply(announced({ id: "i", sequence: 4, state: "ready" }), 10)).to.equal(false);
        expect(announcements.changedAfter(0)[0]).to.include({ state: "draining" });
    });

    it("end when the server leaves, even if it never sent a heartbeat here", () => {
        const announcements = Announcements.create(1_000);
        expect(announcements.markLeft("i", 0)).to.equal(true);
        expect(announcements.apply(announced({ id: "i", sequence: 9 }), 10)).to.equal(false);
        expect(announcements.changedAfter(0).map(one => [one.id, one.state])).to.deep.equal([["i", "left"]]);
    });

    it("become silent once after some missed heartbeats, and ready again with the next one", () => {
        const announcements = Announcements.create(1_000);
        announcements.apply(announced({ id: "i", sequence: 1 }), 0);
        expect(announcements.markSilent(2_500)).to.deep.equal([]);
        expect(announcements.markSilent(3_500)).to.deep.equal(["i"]);
        expect(announcements.markSilent(3_600)).to.deep.equal([]);
        expect(announcements.apply(announced({ id: "i", sequence: 2 }), 4_000)).to.equal(true);
    });
});

// Guards against a pool without any ready engine after a directory was paused for two seconds. Meanwhile the engines send
// their heartbeats to a second directory, and later to the first one again. The second one announces them as silent; the
// first one receives heartbeats without a change, which aren't forwarded, so that nothing corrects the silent state.
describe("the silence of a backend server at one directory", () => {
    const createMovedServer = (): { readonly first: Announcements; readonly second: Announcements; } => {
        const first = Announcements.create(1_000);
        const second = Announcements.create(1_000);
        first.apply(announced({ id: "i", sequence: 1 }), 0);
        second.apply(announced({ id: "i", sequence: 2 }), 1_000);
        for (let sequence = 3; sequence < 9; sequence++) {
            first.apply(announced({ id: "i", sequence }), sequence * 1_000);
        }
        second.markSilent(5_000);
        return { first, second };
    };

    it("is refuted by another directory that receives its heartbeats", () => {
        const { first, second } = createMovedServer();
        const [silent] = second.changedAfter(0);
        const before = first.latestChange();
        expect([silent!.state, first.refutes(silent!)]).to.deep.equal(["silent", true]);
        const table = InstanceTable.create();
        [...second.changedAfter(0), ...first.changedAfter(before)].forEach(one => table.apply(one));
        expect(table.all().map(one => one.state)).to.deep.equal(["ready"]);
    });

    it("remains if no directory has a newer heartbeat, or all have missed it", () => {
        const { first, second } = createMovedServer();
        const [silent] = second.changedAfter(0);
        expect(first.refutes({ ...silent!, sequence: 8 })).to.equal(false);
        first.markSilent(20_000);
        expect(first.refutes(silent!)).to.equal(false);
        expect(second.refutes(silent!)).to.equal(false);
    });
});

// Guards against all requests going to the first backend servers that send a heartbeat, for a second after a power loss of
// all hosts: directories restart without any known server, and heartbeats arrive one by one over their interval.
describe("backend servers that are restored after a restart of their directories", () => {
    const createRestored = (): Announcements => {
        const announcements = Announcements.create(1_000);
        ["i", "j"].forEach(id => announcements.restoreServer(announced({ id, sequence: 40 }), 0));
        return announcements;
    };

    // Guards against each directory sending each gateway the servers of all directories after a restart: a directory used to
    // store all servers that it knew, not only those that sent it heartbeats. The announcements of a thousand servers are
    // 130 KB, and each gateway received them from every directory.
    it("are those that sent heartbeats to this directory, or were restored before", () => {
        const announcements = Announcements.create(1_000);
        announcements.apply(announced({ id: "own", sequence: 1 }), 0);
        announcements.apply(announced({ id: "draining", sequence: 1, state: "draining" }), 0);
        announcements.restoreServer(announced({ id: "restored", sequence: 1 }), 0);
        announcements.restoreServer(announced({ id: "elsewhere", sequence: 1 }), 0);
        announcements.confirm(announced({ id: "elsewhere", sequence: 2 }));
        announcements.markLeft("left", 0);
        announcements.apply(announced({ id: "silent", sequence: 1 }), -9_000);
        announcements.markSilent(0);
        expect(announcements.restartCacheEntries().map(({ id, state }) => [id, state])).to.deep.equal([
            ["own", "ready"],
            ["draining", "draining"],
            ["restored", "ready"],
            ["left", "left"],
        ]);
    });

    it("are announced at once, and again with their first heartbeat", () => {
        const announcements = createRestored();
        expect(announcements.changedAfter(0).map(one => [one.id, one.state])).to.deep.equal([["i", "ready"], [
            "j",
            "ready",
        ]]);
        expect(announcements.apply(announced({ id: "i", sequence: 41 }), 500)).to.equal(true);
        expect(announcements.apply(announced({ id: "i", sequence: 42 }), 1_500)).to.equal(false);
    });

    it("are silent after two missed heartbeats", () => {
        const announcements = createRestored();
        announcements.apply(announced({ id: "i", sequence: 41 }), 500);
        expect(announcements.markSilent(1_900)).to.deep.equal([]);
        expect(announcements.markSilent(2_100)).to.deep.equal(["j"]);
        expect(announcements.changedAfter(0).map(one => [one.id, one.state])).to.deep.include(["j", "silent"]);
    });

    it("aren't marked silent if another directory receives their heartbeats", () => {
        const announcements = createRestored();
        announcements.confirm(announced({ id: "j", sequence: 41 }));
        announcements.confirm(announced({ id: "i", sequence: 40 }));
        expect(announcements.markSilent(2_100)).to.deep.equal(["i"]);
        expect(announcements.changedAfter(0).map(one => [one.id, one.state])).to.deep.equal([["i", "silent"]]);
    });
});

describe("InstanceTable", () => {
    it("uses the highest sequence number, whichever directory sent it", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "i", sequence: 4, state: "draining" }));
        table.apply(announced({ id: "i", sequence: 3, state: "ready" }));
        expect(table.usable("pool")).to.deep.equal([]);
    });

    // Guards against a healthy server that receives no requests: it sends its heartbeats to another directory, and the previous
    // one announces it as silent.
    it("ignores the silence at one directory if another has a newer heartbeat", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "i", sequence: 4 }));
        table.apply(announced({ id: "i", sequence: 5 }));
        table.apply(announced({ id: "i", sequence: 4, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["i"]);
    });

    it("uses silent servers only if no other is left", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "i", sequence: 1, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["i"]);
        table.apply(announced({ id: "j", sequence: 1 }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["j"]);
    });

    // Guards against half of the requests to a restarted server being rejected for seconds: after a crash it runs at the same
    // address as a new incarnation, while the previous one appears ready until it has missed its heartbeats.
    it("doesn't use an incarnation if another was announced later at its address", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "old", sequence: 7 }));
        expect(table.apply(announced({ id: "new", sequence: 1 }))).to.equal(true);
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["new"]);
        expect(table.all().map(one => one.state)).to.deep.equal(["silent", "ready"]);
    });

    // Guards against a healthy server that receives no requests any more: a network partition delays a heartbeat of the
    // previous server at its address until after its own first one.
    it("uses the running incarnation again once the other one is silent or has ended", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "live", sequence: 1 }));
        table.apply(announced({ id: "outdated", sequence: 40 }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["outdated"]);
        table.apply(announced({ id: "outdated", sequence: 40, state: "silent" }));
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["live"]);
        table.apply(announced({ id: "other outdated", sequence: 3 }));
        table.end("other outdated");
        expect(table.usable("pool").map(one => one.id)).to.deep.equal(["live"]);
    });

    // Guards against callers who wait for the servers of a service that have all said that they leave.
    it("tells a service whose servers have all left from one whose servers aren't known yet", () => {
        const table = InstanceTable.create();
        expect(table.isAbandoned("pool")).to.equal(false);
        table.apply(announced({ id: "i", sequence: 1 }));
        table.apply(announced({ id: "j", sequence: 1, state: "silent" }));
        expect(table.isAbandoned("pool")).to.equal(false);
        table.apply(announced({ id: "i", sequence: 1, state: "draining" }));
        expect(table.isAbandoned("pool")).to.equal(false);
        table.apply(announced({ id: "j", sequence: 1, state: "left" }));
        expect(table.isAbandoned("pool")).to.equal(true);
        table.apply(announced({ id: "i", sequence: 1, state: "left" }));
        expect(table.isAbandoned("pool")).to.equal(true);
        table.apply(announced({ id: "k", sequence: 1 }));
        expect(table.isAbandoned("pool")).to.equal(false);
    });

    it("never restores an incarnation that left or was ended", () => {
        const table = InstanceTable.create();
        table.apply(announced({ id: "i", sequence: 1 }));
        table.apply(announced({ id: "i", sequence: 0, state: "left" }));
        table.apply(announced({ id: "i", sequence: 9 }));
        table.apply(announced({ id: "j", sequence: 1 }));
        table.end("j");
        table.apply(announced({ id: "j", sequence: 9 }));
        expect(table.all()).to.deep.equal([]);
    });
});
