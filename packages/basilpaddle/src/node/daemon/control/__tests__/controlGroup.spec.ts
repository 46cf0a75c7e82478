import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import { ControlGroup, groupTiming, pollUntilDefined } from "../../../../../../../simulation/control/controlGroup.js";
import { commands } from "../../../state/__tests__/commands.js";
import { Follower } from "./follower.js";

const names = ["one", "two", "three"];
const hourMilliseconds = 3_600_000;

describe("a group of control daemons", () => {
    let group: ControlGroup;
    let followers: Follower[];

    beforeEach(async () => {
        group = await ControlGroup.create(names);
        followers = [];
    });

    afterEach(async () => {
        followers.forEach(follower => follower.stop());
        await group.close();
    });

    async function follower(daemon: string): Promise<Follower> {
        const created = new Follower(group, daemon);
        followers.push(created);
        await created.start();
        return created;
    }

    it("answers a resent change with the first answer after the leader was killed during the change", async () => {
        // Failure: an operator that resends a change after a lost answer gets a conflict with its own change, or the
        // change is applied twice. A quorum holds the change, the leader is killed before it answers, and the same change
        // is sent to the next leader; the answer was kept only in the memory of the killed one.
        const entry = await follower("entry-1");
        const killedLeader = await group.leader();
        const first = group.daemon(killedLeader).propose(commands.change("one", 0));
        await pollUntilDefined(
            "the change",
            () => group.daemon(killedLeader).status().history().length === 1 || undefined,
        );
        await group.kill(killedLeader);
        expect((await first).kind).to.be.oneOf(["undecided", "result"]);
        const { result } = await entry.propose(commands.change("one", 0));
        expect(result).to.deep.equal({ kind: "accepted", revision: 1 });
        expect(entry.view().configuration.revision).to.equal(1);
        expect((await entry.propose(commands.change("two", 0))).result).to.include({ kind: "conflict", revision: 1 });
    });

    it("answers `accepted` only when every open session has applied the change", async () => {
        const entries = [await follower("entry-1"), await follower("entry-2")];
        for (let base = 0; base < 3; base++) {
            const { result } = await entries[0]!.propose(commands.change(`change-${base}`, base));
            expect(result).to.deep.equal({ kind: "accepted", revision: base + 1 });
            expect(entries.map(entry => entry.view().configuration.revision)).to.deep.equal([base + 1, base + 1]);
        }
    });

    it("grants leases, and grants those of a dead daemon to another one with a higher fence", async () => {
        const [first, second] = [await follower("entry-1"), await follower("entry-2")];
        const firstLease = await pollUntilDefined("a holder", () => second.view().leases.orders ?? undefined);
        const [stoppedHolder, successor] = firstLease.holder.daemon === "entry-1" ? [first, second] : [second, first];
        stoppedHolder.stop();
        const nextLease = await pollUntilDefined("another holder", () => {
            const lease = successor.view().leases.orders;
            return lease?.holder.daemon === successor.session.daemon ? lease : undefined;
        });
        expect(nextLease.fence).to.be.above(firstLease.fence);
        expect(successor.view().sessions).to.have.all.keys(successor.session.daemon);
    });

    it("keeps the session of an entry daemon that is disconnected from only the leader", async () => {
        // Failure: an entry daemon stops starting work and its requests are cancelled at the engines, although most control
        // daemons receive its heartbeats. Its connection to the leader fails silently for longer than the session timeout,
        // and the leader closed sessions based only on the heartbeats that it received itself.
        const leader = await group.leader();
        const [disconnected, other] = [await follower("entry-1"), await follower("entry-2")];
        disconnected.avoid(leader);
        const since = performance.now();
        await pollUntilDefined(
            "twice the session timeout",
            () => performance.now() - since > 2 * groupTiming.sessionTimeout || undefined,
        );
        expect(other.view().sessions).to.include.keys("entry-1", "entry-2");
        expect(await group.leader()).to.equal(leader);
        const answer = await other.propose(commands.change("one", 0));
        expect(answer.result).to.include({ kind: "accepted" });
        expect(disconnected.view().configuration.changeId).to.equal("one");
    });

    it("brings a daemon that missed hundreds of changes up to date by the whole view and the steps after it", async () => {
        const entry = await follower("entry-1");
        await pollUntilDefined("a lease holder, after which the view doesn't change", () => entry.view().leases.orders);
        const lateFollower = new Follower(group, "entry-2");
        followers.push(lateFollower);
        await Promise.all(Array.from({ length: 500 }, (_, count) => entry.propose(commands.announce(`w${count}`, 1))));
        const [queriedControl] = names as [string];
        const newest = group.daemon(queriedControl).status();
        await pollUntilDefined(
            "all announcements applied",
            () => Object.keys(newest.view().backends).length === 500 || undefined,
        );
        await lateFollower.ask(queriedControl);
        expect(lateFollower.snapshots).to.equal(1);
        expect(lateFollower.view()).to.deep.equal(newest.view());
        await entry.propose(commands.announce("last", 1));
        await pollUntilDefined("the last announcement applied", () => newest.view().backends.last);
        await lateFollower.ask(queriedControl);
        expect(lateFollower.snapshots).to.equal(1);
        expect(lateFollower.view()).to.deep.equal(newest.view());
        expect(Object.keys(lateFollower.view().backends)).to.have.length(501);
    });

    it("never sends an old view from a control daemon that was isolated for an hour", async () => {
        // Failure: a daemon reverts to a configuration from an hour ago. The leader is isolated without an error while the
        // request of an entry daemon is in transit, the others accept changes, and then the old leader answers; its answer
        // was treated as the newest because it still considers itself the leader.
        const entry = await follower("entry-1");
        const isolatedLeader = await group.leader();
        group.isolate(isolatedLeader);
        group.clocks.get(isolatedLeader)!.shift += hourMilliseconds;
        for (let base = 0; base < 2; base++) {
            await entry.propose(commands.change(`change-${base}`, base));
        }
        const isolatedDaemon = group.daemon(isolatedLeader);
        expect(isolatedDaemon.status().view().configuration.revision).to.equal(0);
        expect((await isolatedDaemon.propose(commands.change("late", 0))).kind).to.be.oneOf(["notLeader", "undecided"]);
        group.reconnect(isolatedLeader);
        const answer = await pollUntilDefined(
            "an answer",
            () => entry.view().index > 0 ? entry.ask(isolatedLeader) : undefined,
        );
        expect(answer?.snapshot?.index ?? entry.view().index).to.be.at.least(entry.view().index);
        await pollUntilDefined(
            "the newest view",
            () => isolatedDaemon.status().view().configuration.revision === 2 || undefined,
        );
        expect(entry.view().configuration.changeId).to.equal("change-1");
    });

    it("recovers from its disks after all daemons were killed at once", async () => {
        const entry = await follower("entry-1");
        await entry.propose(commands.change("one", 0));
        // The run record doesn't expire during the test: a new leader counts its lifetime from its own start.
        await entry.propose(commands.start("k", "t"));
        await Promise.all(names.map(name => group.kill(name)));
        await Promise.all(names.map(name => group.start(name)));
        expect((await entry.propose(commands.start("k", "u"))).result).to.include({ kind: "known", state: "running" });
        expect((await entry.propose(commands.change("one", 0))).result).to.deep.equal({
            kind: "accepted",
            revision: 1,
        });
    });

    it("refuses a second process on a data folder before changing anything in it", async () => {
        // Failure: two leaders in one term, or a log without its last records. A control daemon is started manually while
        // its service runs. The second process opens the folder, which truncates what looks like the remains of a crash;
        // the port is found in use only afterwards, or never if the settings specify another one.
        const entry = await follower("entry-1");
        const [name] = names as [string];
        const folder = group.settings(name).dataFolder;
        const unfinished = path.join(folder, "snapshot.1234");
        await fs.writeFile(unfinished, "being written");
        const second = await group.start(name).then(() => undefined, (error: unknown) => error);
        expect(String(second)).to.include(`The data folder ${folder} is in use by another process`);
        expect(await fs.readFile(unfinished, "utf8")).to.equal("being written");
        expect((await entry.propose(commands.change("one", 0))).result).to.include({ kind: "accepted" });
        await group.stop(name);
        await group.start(name);
    });
});
