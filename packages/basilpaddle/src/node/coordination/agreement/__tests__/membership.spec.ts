import { expect } from "chai";
import { silence, StepDriver, viewLease } from "./stepDriver.js";

const [a, b, c] = ["a#x", "b#x", "c#x"] as const;
const newMember = "c#new";

describe("manageMembership", () => {
    let driver: StepDriver;

    beforeEach(() => {
        driver = StepDriver.create([a, b, c]);
        driver.advance(silence);
        driver.elect(a);
        driver.propose(a, "change");
        driver.settle();
    });

    /** Exchanges heartbeats between a and b until c is considered dead. */
    function loseC(): void {
        driver.states.delete(c);
        exchangeHeartbeats(8);
    }

    function exchangeHeartbeats(times: number): void {
        for (let round = 0; round < times; round += 1) {
            driver.advance(100, [a, b]);
            driver.settle();
        }
    }

    function join(identity: string): void {
        driver.handle(a, { kind: "message", from: identity, message: { kind: "join" } });
    }

    it("adds a new member as a learner first, and promotes it only once it has all committed entries", () => {
        // With a vote, a new member whose log is still empty could form a quorum with a lagging voter, and a committed entry
        // would be lost.
        loseC();
        join(newMember);
        driver.settle();
        const learning = { voters: [a, b, c], learners: [newMember] };
        expect(driver.states.get(a)!.log.membership).to.deep.equal(learning);
        exchangeHeartbeats(20);
        expect(driver.states.get(a)!.log.membership).to.deep.equal(learning);
        driver.startEmpty(newMember);
        const committed = driver.states.get(a)!.committed;
        exchangeHeartbeats(30);
        expect(driver.states.get(newMember)!.committed).to.be.at.least(committed);
        expect(driver.states.get(a)!.log.membership).to.deep.equal({ voters: [a, b, newMember], learners: [] });
    });

    it("waits until the previous change is committed", () => {
        // After a host has joined twice in a row, the quorums of the two uncommitted memberships may have no voter in common,
        // and could elect two leaders in one term.
        loseC();
        driver.disconnected.add(b);
        join(newMember);
        driver.settle();
        join("c#newer");
        const { membership, membershipIndex } = driver.states.get(a)!.log;
        expect(membershipIndex).to.be.greaterThan(driver.states.get(a)!.committed);
        expect(membership.learners).to.deep.equal([newMember]);
    });

    it("waits until an entry of the leader's own term is committed", () => {
        // Two leaders in one term are also possible after a change of leader, if the new one changes the membership while a
        // change that its predecessor began may still be committed.
        loseC();
        driver.disconnected.add(a);
        exchangeHeartbeats(8);
        driver.states.get(b)!.electionAt = Number.POSITIVE_INFINITY;
        driver.disconnected.delete(a);
        driver.states.get(b)!.leaderContactAt = Number.NEGATIVE_INFINITY;
        driver.stalledDisks.add(a);
        driver.elect(a);
        driver.handle(a, { kind: "synced", write: driver.states.get(a)!.lastWrite });
        driver.stalledDisks.add(b);
        driver.settle();
        driver.handle(b, { kind: "synced", write: driver.states.get(b)!.lastWrite });
        driver.settle();
        expect(driver.isLeading(a)).to.equal(true);
        const { leadership, committed } = driver.states.get(a)!;
        expect(committed).to.be.lessThan(leadership!.firstIndex);
        driver.now += 500;
        const answer = { kind: "appended" as const, term: driver.states.get(a)!.term, matched: 1, round: 1 };
        driver.handle(a, { kind: "message", from: b, message: { ...answer, sentAt: driver.now } });
        driver.now += 200;
        join(newMember);
        expect(driver.isLeading(a)).to.equal(true);
        expect(driver.states.get(a)!.log.membership).to.deep.equal({ voters: [a, b, c], learners: [] });
    });

    it("keeps the voters unchanged for a view lease between two changes, and after an election", () => {
        // Guards against an entry daemon that starts work under an old configuration while it considers the quorum lost:
        // it extends its view lease by refusals of the voters that it knows, while a lost disk is replaced in two quick
        // changes, and the new voters accept a configuration change. It can allow for one unknown set of voters, not more.
        loseC();
        join(newMember);
        driver.startEmpty(newMember);
        const changes: { readonly at: number; readonly voters: string; }[] = [{ at: driver.now, voters: "" }];
        for (let round = 0; round < 60; round += 1) {
            exchangeHeartbeats(1);
            const voters = driver.states.get(a)!.log.membership.voters.join();
            if (voters !== changes.at(-1)!.voters) {
                changes.push({ at: driver.now, voters });
            }
        }
        expect(changes.slice(1).map(({ voters }) => voters)).to.deep.equal([
            [a, b, c].join(),
            [a, b].join(),
            [a, b, newMember].join(),
        ]);
        const [, , removed, promoted] = changes;
        expect(removed!.at - driver.states.get(a)!.leadership!.since).to.be.at.least(viewLease);
        expect(promoted!.at - removed!.at).to.be.at.least(viewLease);
    });

    it("doesn't remove a live voter", () => {
        // A second process that is started under the name of a voter, with an empty folder, must not replace it.
        join(newMember);
        exchangeHeartbeats(10);
        expect(driver.states.get(a)!.log.membership).to.deep.equal({ voters: [a, b, c], learners: [] });
    });
});
