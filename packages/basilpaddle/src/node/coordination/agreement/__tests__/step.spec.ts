import { expect } from "chai";
import { logOfTerms, silence, StepDriver } from "./stepDriver.js";

const [a, b, c] = ["a#x", "b#x", "c#x"] as const;

function group(): StepDriver {
    const driver = StepDriver.create([a, b, c]);
    driver.advance(silence);
    return driver;
}

describe("a step of the agreement protocol", () => {
    it("doesn't send an acknowledgement before the entries are synced", () => {
        // An accepted change would be lost in a power cut if a follower acknowledges an entry, the leader counts it towards
        // the quorum, and the follower loses power before the entry is on its disk.
        const driver = group();
        driver.elect(a);
        driver.stalledDisks.add(b);
        driver.disconnected.add(c);
        driver.propose(a, "change");
        const committed = driver.states.get(a)!.committed;
        driver.settle();
        expect(driver.states.get(a)!.committed).to.equal(committed);
        driver.handle(b, { kind: "synced", write: driver.states.get(b)!.lastWrite });
        driver.settle();
        expect(driver.states.get(a)!.committed).to.equal(committed + 1);
    });

    it("doesn't send a vote before it is synced", () => {
        // A voter that loses power before its vote is on disk could vote again, which allows two leaders in one term.
        const driver = group();
        driver.stalledDisks.add(b);
        driver.disconnected.add(c);
        driver.elect(a);
        expect(driver.isLeading(a)).to.equal(false);
        driver.handle(b, { kind: "synced", write: driver.states.get(b)!.lastWrite });
        driver.settle();
        expect(driver.isLeading(a)).to.equal(true);
        driver.start(b);
        expect([driver.states.get(b)!.term, driver.states.get(b)!.vote]).to.deep.equal([1, a]);
    });

    it("lets a voter that was cut off return without an election", () => {
        // Without a pre-vote, a voter that is cut off starts one election after another, and once it is reconnected its high
        // term deposes the leader.
        const driver = group();
        driver.elect(a);
        const term = driver.states.get(a)!.term;
        driver.disconnected.add(c);
        for (let round = 0; round < 50; round += 1) {
            driver.advance(100);
            driver.settle();
        }
        driver.disconnected.delete(c);
        driver.states.get(c)!.electionAt = driver.now;
        driver.advance(1);
        driver.settle();
        expect(driver.isLeading(a)).to.equal(true);
        expect(driver.states.get(c)!.term).to.equal(term);
    });

    it("makes a leader step down when no quorum has answered for an election timeout", () => {
        // If the network silently drops messages in both directions, a leader in a minority gets no errors and would keep
        // acting as leader.
        const driver = group();
        driver.elect(a);
        driver.disconnected.add(a);
        for (let round = 0; round < 7; round += 1) {
            driver.advance(100, [a]);
            driver.settle();
        }
        expect(driver.isLeading(a)).to.equal(false);
    });

    it("makes a leader check its clock after a freeze before it accepts a proposal", () => {
        // Two leaders could accept proposals: the process of the old one is frozen, its successor is elected, and the first
        // event that the old one handles after it resumes is a proposal.
        const driver = group();
        driver.elect(a);
        driver.now += 10_000;
        driver.propose(a, "late");
        const last = driver.effects.filter(({ identity }) => identity === a).map(({ effect }) => effect.kind);
        expect(last).to.include("refused");
        expect(last.slice(last.lastIndexOf("leadership"))).to.not.include("proposed");
    });

    it("keeps a restarted voter silent for twice the election timeout", () => {
        // An entry daemon that found the processes of a quorum dead still serves under its last view. If one of them restarted
        // and voted at once, a change could be accepted in the meantime.
        const driver = group();
        driver.elect(a);
        const before = driver.effects.length;
        driver.start(b);
        driver.propose(a, "change");
        driver.settle();
        driver.advance(silence - 1, [b]);
        driver.advance(0, [a, c]);
        driver.settle();
        const messagesSent = (): number => {
            return driver.effects.slice(before).filter(each => each.identity === b && each.effect.kind === "send")
                .length;
        };
        expect(messagesSent()).to.equal(0);
        driver.advance(1, [b]);
        driver.elect(a);
        expect(messagesSent()).to.be.greaterThan(0);
    });

    it("doesn't commit an entry of an earlier term by counting its replicas", () => {
        // If a leader commits an entry of an earlier term by counting its replicas, a voter with an entry of a later term can
        // be elected next and overwrite the committed entry.
        const driver = group();
        const old = { index: 1, term: 2, kind: "viewCommand" as const, data: Buffer.from("old") };
        driver.disks.get(a)!.push({ kind: "ballot", term: 2, vote: a }, { kind: "entry", entry: old });
        driver.start(a);
        driver.advance(silence);
        driver.stalledDisks.add(b);
        driver.disconnected.add(c);
        driver.elect(a);
        driver.handle(b, { kind: "synced", write: driver.states.get(b)!.lastWrite });
        const votes = driver.sent.splice(0);
        votes.forEach(({ from, message }) => driver.handle(a, { kind: "message", from, message }));
        const { term, committed, log } = driver.states.get(a)!;
        expect([driver.isLeading(a), committed, log.lastIndex]).to.deep.equal([true, 0, 2]);
        const echoed = { round: 1, sentAt: driver.now };
        const acknowledge = (matched: number): void => {
            driver.handle(a, { kind: "message", from: b, message: { kind: "appended", term, matched, ...echoed } });
        };
        acknowledge(1);
        expect(driver.states.get(a)!.committed).to.equal(0);
        acknowledge(2);
        expect(driver.states.get(a)!.committed).to.equal(2);
    });

    it("confirms leadership only by a round that began after the request", () => {
        // A deposed leader would confirm its view if an answer to an earlier round counted for the new one.
        const driver = group();
        driver.elect(a);
        driver.handle(a, { kind: "confirm", token: 9 });
        const echoed = { round: driver.states.get(a)!.leadership!.round - 1, sentAt: driver.now };
        const { term } = driver.states.get(a)!;
        driver.handle(a, { kind: "message", from: b, message: { kind: "appended", term, matched: 1, ...echoed } });
        const confirmed = (): boolean =>
            driver.effects.some(({ effect }) => effect.kind === "confirmed" && effect.stillLeading);
        expect(confirmed()).to.equal(false);
        driver.settle();
        expect(confirmed()).to.equal(true);
    });
});

describe("the log in memory", () => {
    it("removes the view commands of truncated entries, and keeps those that a snapshot covers", () => {
        const log = logOfTerms([1, 1, 2, 2]);
        log.truncate(4);
        expect(log.lastViewIndex).to.equal(3);
        log.compact(3);
        expect([log.lastViewIndex, log.base.index, log.lastIndex, log.termAt(3)]).to.deep.equal([3, 3, 3, 2]);
        log.append({ index: 4, term: 3, kind: "noop", data: Buffer.alloc(0) });
        expect([log.lastViewIndex, log.lastIndexUpToTerm(2)]).to.deep.equal([3, 3]);
    });
});
