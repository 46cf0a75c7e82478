import { expect } from "chai";
import { ViewLease, type VoterAnswer } from "../viewLease.js";

const voters = ["a", "b", "c"];
const timing = { viewLease: 3_000, electionTimeout: 600 };

function answer(voter: string, appendedView: number, overrides: Partial<VoterAnswer> = {}): VoterAnswer {
    return { voter, voting: true, voters, appendedView, ...overrides };
}

/** A lease that is confirmed as of 1000, with view index 5 applied. */
function createConfirmedLease(): ViewLease {
    const lease = ViewLease.create(timing);
    lease.recordApplied(5);
    lease.startRound(1, 1_000);
    lease.recordAnswer(1, answer("a", 5));
    lease.recordAnswer(1, answer("b", 4));
    return lease;
}

describe("the view lease", () => {
    it("is valid from the time the request was sent and expires exactly at its end", () => {
        const lease = createConfirmedLease();
        expect(lease.status(3_999)).to.deep.equal({ confirmedUntil: 4_000, blocker: undefined });
        expect(lease.isValid(4_000)).to.equal(false);
        expect(lease.status(4_000).blocker).to.include({ kind: "noMajority" });
    });

    it("is not valid before a majority has answered", () => {
        const lease = ViewLease.create(timing);
        lease.startRound(1, 1_000);
        lease.recordAnswer(1, answer("a", 0));
        lease.recordAnswer(1, answer("a", 0));
        expect(lease.status(1_001)).to.deep.equal({ confirmedUntil: undefined, blocker: { kind: "neverConfirmed" } });
    });

    /*
     * Guards against work on a view that lacks an accepted change. A voter's answer is delayed by a freeze and arrives
     * rounds later; if it counted as of its arrival or for a newer round, the lease would be too long.
     */
    it("counts a delayed answer only for its own round", () => {
        const lease = createConfirmedLease();
        lease.startRound(2, 2_000);
        lease.startRound(3, 3_000);
        lease.recordAnswer(3, answer("a", 5));
        lease.recordAnswer(2, answer("b", 5));
        expect(lease.status(3_100).confirmedUntil).to.equal(4_000);
        lease.recordAnswer(2, answer("c", 5));
        expect(lease.status(3_100).confirmedUntil).to.equal(5_000);
        lease.recordAnswer(1, answer("c", 5));
        expect(lease.status(3_100).confirmedUntil).to.equal(5_000);
    });

    it("is not renewed until a newer view command in the logs of a majority has been applied", () => {
        const lease = createConfirmedLease();
        lease.startRound(2, 2_000);
        lease.recordAnswer(2, answer("a", 7));
        lease.recordAnswer(2, answer("b", 7));
        expect(lease.status(4_000).blocker).to.deep.equal({ kind: "behind", applied: 5, appended: 7 });
        lease.recordApplied(7);
        expect(lease.status(4_000).confirmedUntil).to.equal(5_000);
    });

    /*
     * Guards against a lease without a quorum of the actual voters. A voter that lost its disk, or one that was removed,
     * answers in addition to one actual voter; counting every answer would make this a majority.
     */
    it("counts only voters of the reported membership", () => {
        const lease = ViewLease.create(timing);
        lease.startRound(1, 1_000);
        lease.recordAnswer(1, answer("a", 0));
        lease.recordAnswer(1, answer("removed", 0));
        lease.recordAnswer(1, answer("b", 0, { voting: false }));
        lease.recordAnswer(1, answer("c", 0, { voters: ["a", "c", "d"] }));
        expect(lease.isValid(1_001)).to.equal(false);
    });

    /*
     * Guards against work on a view that lacks an accepted change. The leader freezes, the other voters elect a new one,
     * which accepts a change, and the old leader resumes and answers first; its answer alone must not confirm the view.
     */
    it("counts the answer of a deposed leader as a single vote", () => {
        const lease = createConfirmedLease();
        lease.startRound(2, 2_000);
        lease.recordAnswer(2, answer("a", 5));
        lease.recordAnswer(2, answer("b", 6));
        lease.recordAnswer(2, answer("c", 6));
        expect(lease.status(2_100).confirmedUntil).to.equal(4_000);
    });

    describe("when the quorum is lost", () => {
        it("is extended from the time of the request that a majority refused", () => {
            const lease = createConfirmedLease();
            lease.startRound(2, 2_000);
            lease.recordRefusal(2, "b", 2_001);
            expect(lease.status(2_001).confirmedUntil).to.equal(4_000);
            lease.recordRefusal(2, "c", 2_002);
            expect(lease.status(2_002).confirmedUntil).to.equal(5_000);
        });

        const cases: readonly [string, (lease: ViewLease) => void][] = [
            ["the lease expired before the refusals arrived", lease => {
                lease.startRound(2, 3_990);
                lease.recordRefusal(2, "b", 3_999);
                lease.recordRefusal(2, "c", 4_000);
            }],
            ["refusals arrive late, as in a process that was frozen meanwhile", lease => {
                lease.startRound(2, 2_000);
                lease.recordRefusal(2, "b", 2_001);
                lease.recordRefusal(2, "c", 2_151);
            }],
            ["the refusals belong to two rounds", lease => {
                lease.startRound(2, 2_000);
                lease.recordRefusal(2, "b", 2_001);
                lease.startRound(3, 2_100);
                lease.recordRefusal(3, "c", 2_101);
            }],
            ["the remaining voter has a newer change in its log", lease => {
                lease.startRound(2, 2_000);
                lease.recordAnswer(2, answer("a", 6));
                lease.recordRefusal(2, "b", 2_001);
                lease.recordRefusal(2, "c", 2_001);
            }],
            ["the remaining voter reports a different membership", lease => {
                lease.startRound(2, 2_000);
                lease.recordAnswer(2, answer("a", 5, { voters: ["a", "b", "d"] }));
                lease.recordRefusal(2, "b", 2_001);
                lease.recordRefusal(2, "c", 2_001);
            }],
            ["one of the refusing daemons is not a voter", lease => {
                lease.startRound(2, 2_000);
                lease.recordRefusal(2, "b", 2_001);
                lease.recordRefusal(2, "d", 2_001);
            }],
        ];
        for (const [condition, applyEvents] of cases) {
            it(`is not extended if ${condition}`, () => {
                const lease = createConfirmedLease();
                applyEvents(lease);
                expect(lease.status(3_000).confirmedUntil).to.equal(4_000);
            });
        }

        /*
         * Guards against work on a view that lacks an accepted change although half of the voters were down. A fifth
         * voter joins a group of four unnoticed, two of the four die, and the other three can still commit: half of an
         * even number of voters blocks a majority of them, but not of a group that is larger by one.
         */
        it("is not extended by refusals of exactly half of an even number of voters", () => {
            const fourVoters = [...voters, "d"];
            const lease = ViewLease.create(timing);
            lease.startRound(1, 1_000);
            for (const voter of ["a", "b", "c"]) {
                lease.recordAnswer(1, answer(voter, 0, { voters: fourVoters }));
            }
            lease.startRound(2, 2_000);
            lease.recordRefusal(2, "a", 2_001);
            lease.recordRefusal(2, "b", 2_001);
            expect(lease.status(2_001).confirmedUntil).to.equal(4_000);
            lease.recordRefusal(2, "c", 2_001);
            expect(lease.status(2_001).confirmedUntil).to.equal(5_000);
        });
    });
});
