import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import type { Admission } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { ServerAdmission } from "../serverAdmission.js";
import { ServerLimits } from "../serverLimits.js";

describe("the admission of requests to servers that name a limit", () => {
    let clock: ManualClock;
    let answer: () => Admission | undefined;
    let admission: ServerAdmission;

    beforeEach(() => {
        clock = new ManualClock(1);
        admission = ServerAdmission.create({
            name: "g",
            leader: {
                isAvailable: () => true,
                admit: () => Promise.resolve(answer()),
                send: () => undefined,
            },
            gateways: () => 8,
            clock,
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
        });
        admission.observeAnswer("s", 2);
    });

    // Guards against a request that is refused for a limit which ended while the leader was asked and didn't answer.
    it("admits a request once the limit has ended, although the leader doesn't answer", async () => {
        answer = () => {
            clock.freeze(1_000);
            admission.observeAnswer("s", undefined);
            return undefined;
        };
        expect(await admission.admit("s", 0)).to.equal(true);
        admission.observeAnswer("s", 2);
        answer = () => undefined;
        await clock.advance(60_000);
        await admission.admit("s", 0);
        await clock.advance(60_000);
        expect(await admission.admit("s", 0)).to.equal(true);
    });

    it("waits as long as the leader says before a request is sent", async () => {
        answer = () => ({ admitted: true, wait: 300 });
        let isAdmitted = false;
        void admission.admit("s", 500).then(admitted => (isAdmitted = admitted));
        await clock.advance(299);
        expect(isAdmitted).to.equal(false);
        await clock.advance(1);
        expect(isAdmitted).to.equal(true);
    });

    it("doesn't ask for a server again before it has room", async () => {
        answer = () => ({ admitted: false, comeBackIn: 400 });
        expect(await admission.admit("s", 0)).to.equal(false);
        expect(admission.timeUntilRoom("s")).to.be.at.least(400);
        await clock.advance(3_000);
        expect(admission.timeUntilRoom("s")).to.equal(0);
    });
});

describe("the limits that servers name", () => {
    let limits: ServerLimits;

    beforeEach(() => {
        limits = ServerLimits.create();
        limits.observe("s", 3, 1_000);
    });

    it("are those of the latest answer, in whichever order answers are heard of", () => {
        limits.observe("s", 5, 900);
        expect(limits.limitOf("s")).to.equal(3);
        limits.observe("s", 1, 1_100);
        expect(limits.limitOf("s")).to.equal(1);
    });

    // Guards against a limit that is dropped for a moment: an answer without it overtook one with it.
    it("don't end with an answer that was received together with one that names a limit", () => {
        expect(limits.observe("s", undefined, 1_100)).to.equal(false);
        expect(limits.limitOf("s")).to.equal(3);
        expect(limits.observe("s", undefined, 1_300)).to.equal(true);
        expect(limits.limitOf("s")).to.equal(undefined);
    });

    it("are told to others for a while after they ended, with their age", () => {
        limits.observe("s", undefined, 2_000);
        expect(limits.recent(2_500)).to.deep.equal([{ server: "s", age: 500 }]);
        expect(limits.recent(20_000)).to.deep.equal([]);
    });

    it("change for others only if they differ by more than a tenth", () => {
        const before = limits.latestChange();
        limits.observe("s", 3.2, 2_000);
        expect(limits.latestChange()).to.equal(before);
        limits.observe("s", 4, 3_000);
        expect(limits.latestChange()).to.equal(before + 1);
    });
});
