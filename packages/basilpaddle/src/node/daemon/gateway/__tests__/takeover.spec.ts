import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import type { EngineRun } from "../engineRun.js";
import type { RoundEnd, SuccessorRound } from "../round.js";
import type { RunEnd } from "../runEnd.js";
import { Takeover } from "../takeover.js";

const lost: RunEnd = { kind: "lost", cause: "reset" };
const refused: RoundEnd = { kind: "refused", comeBackIn: 300, cause: "no room" };

/** A silent run, and the rounds that are played beside it. */
class SilentRun {
    readonly rounds: { readonly round: SuccessorRound; readonly end: (end: RoundEnd) => void; }[] = [];
    abandoned = 0;
    hasEnded = false;
    readonly takeover = Takeover.create({
        request: "a",
        engine: "decode",
        hasEnded: () => this.hasEnded,
        listenStatus: () => Promise.resolve("yes"),
        clock: new ManualClock(),
        mayContinue: () => this.mayContinue,
        play: round => new Promise(end => this.rounds.push({ round, end })),
        signal: new AbortController().signal,
        logger: createSilentLogger(),
        metrics: RecordedMetrics.create(),
    });

    /** `endOfRun`: how the run ends if it is abandoned. */
    constructor(endOfRun: RunEnd = lost, private readonly mayContinue = true) {
        this.takeover.observe({
            abandon: () => {
                this.abandoned += 1;
                return Promise.resolve(endOfRun);
            },
        } as unknown as EngineRun);
        this.takeover.onSilent();
    }

    get round(): SuccessorRound {
        return this.rounds[0]!.round;
    }
}

describe("the search for a run that continues a silent one", () => {
    // Guards against answers that are broken off, since their run ends before another engine has answered.
    it("ends the run only once another engine answers", async () => {
        const run = new SilentRun();
        expect(run.abandoned).to.equal(0);
        expect(await run.round.takeOver()).to.equal(true);
        expect(run.abandoned).to.equal(1);
    });

    it("keeps the run if nobody continues it, and is begun again while the silence lasts", async () => {
        const run = new SilentRun();
        run.takeover.onSilent();
        expect(run.rounds).to.have.length(1);
        run.rounds[0]!.end(refused);
        await new Promise(resolve => setImmediate(resolve));
        run.takeover.onSilent();
        expect([run.abandoned, run.rounds.length]).to.deep.equal([0, 2]);
    });

    // Guards against events that come twice, from two runs at once.
    it("doesn't end a run that has been heard again", async () => {
        const run = new SilentRun();
        run.takeover.onHeard();
        expect(run.round.signal.aborted).to.equal(true);
        expect(await run.round.takeOver()).to.equal(false);
        expect(run.abandoned).to.equal(0);
    });

    it("isn't taken over if the run ends whole just then", async () => {
        expect(await new SilentRun({ kind: "done" }).round.takeOver()).to.equal(false);
    });

    it("decides how the request goes on if the run is lost meanwhile", async () => {
        const run = new SilentRun();
        const end = run.takeover.end(lost);
        expect(await run.round.takeOver()).to.equal(true);
        run.rounds[0]!.end({ kind: "over" });
        expect(await end).to.deep.equal({ kind: "over" });
        expect(run.abandoned).to.equal(0);
    });

    // Guards against a run that is ended just as it takes over, and repeated.
    it("isn't ended if the run that it replaces turns out never to have begun", async () => {
        const turnedAway: RunEnd = { kind: "turnedAway", cause: "not sent", unreachable: true, lostOnPath: true };
        const run = new SilentRun(turnedAway);
        expect(await run.round.takeOver()).to.equal(true);
        void run.takeover.end(turnedAway);
        expect(run.round.signal.aborted).to.equal(false);
    });

    // The same, for what still comes of the run that is being ended.
    it("isn't ended if the run that it replaces is heard once more", async () => {
        const run = new SilentRun();
        const mayAnswer = run.round.takeOver();
        run.takeover.onHeard();
        expect([await mayAnswer, run.round.signal.aborted]).to.deep.equal([true, false]);
    });

    it("isn't begun if no engine may be sent the request any more", () => {
        expect(new SilentRun(lost, false).rounds).to.have.length(0);
    });

    it("isn't waited for if the engine is known to have ended", () => {
        const run = new SilentRun(lost, false);
        run.hasEnded = true;
        run.takeover.onSilent();
        expect(run.abandoned).to.equal(1);
    });
});
