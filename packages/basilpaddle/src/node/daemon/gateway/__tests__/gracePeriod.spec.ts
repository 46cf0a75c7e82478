import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { AnswerDurations } from "../answerDurations.js";
import type { CallerRequest } from "../callerRequest.js";
import { balancerNoticeMilliseconds, GracePeriod } from "../gracePeriod.js";
import { createRequest } from "./fakeRequest.js";

const graceMilliseconds = 7_000;
const answersOfRoute = 10;

describe("the grace period of a gateway", () => {
    let clock: ManualClock;
    let durations: AnswerDurations;
    let grace: GracePeriod;

    beforeEach(() => {
        clock = new ManualClock();
        durations = AnswerDurations.create();
        grace = GracePeriod.create(clock, durations);
    });

    /** Records answers of a route, all but one of them of one duration. */
    function answer(milliseconds: number, longest: number): void {
        for (let index = 1; index < answersOfRoute; index++) {
            durations.record("r", milliseconds);
        }
        durations.record("r", longest);
    }

    /** Asks for a request that is whole now, and has that many milliseconds. */
    function isRefused(timeout: number, kind: "safe" | "unsafe" = "safe"): boolean {
        const now = clock.monotonic();
        return grace.refuse(createRequest({ name: "r", timeout: timeout + now, kind }, undefined, now));
    }

    it("refuses nothing before it has begun, and nothing that ends by its own limit", () => {
        answer(8_000, 8_000);
        expect(isRefused(10_000)).to.equal(false);
        grace.begin(graceMilliseconds);
        expect(isRefused(5_000)).to.equal(false);
    });

    // Guards against requests that are taken since they seem to end by their own limit, and are cut: a limit that is estimated too early.
    it("takes a request that may have waited unread only if it ends even if it hasn't", () => {
        grace.begin(graceMilliseconds);
        const request = (unreadFor: number): CallerRequest =>
            createRequest({ name: "r", timeout: graceMilliseconds - 500, kind: "unsafe" }, undefined, 0, unreadFor);
        expect(grace.refuse(request(400))).to.equal(false);
        expect(grace.refuse(request(1_000))).to.equal(true);
    });

    // Guards against streams that are cut too soon, since the signal came later than it may have come at the earliest.
    it("counts late requests from the earliest time of the signal, and its end from the handling if that is close", async () => {
        await clock.advance(2_000);
        grace.begin(graceMilliseconds, 0);
        await clock.advance(balancerNoticeMilliseconds - 2_001);
        expect(isRefused(10_000)).to.equal(false);
        await clock.advance(2);
        expect(isRefused(10_000), "late").to.equal(true);
        await clock.advance(graceMilliseconds + 300 - clock.monotonic());
        expect(grace.isOver()).to.equal(false);
        await clock.advance(200);
        expect(grace.isOver()).to.equal(true);
        grace.begin(graceMilliseconds, clock.monotonic() - 100);
        await clock.advance(graceMilliseconds - 50);
        expect(grace.isOver()).to.equal(false);
    });

    // Guards against requests that are taken soon after the signal though most of their route take longer than what is left.
    it("refuses a request whose route's answers mostly take longer, from its beginning on", () => {
        grace.begin(graceMilliseconds);
        expect(isRefused(10_000), "nothing is known").to.equal(false);
        answer(8_000, 8_000);
        expect(isRefused(10_000)).to.equal(true);
    });

    // Guards against requests that come late, are taken since most of their route are short, and are cut.
    it("takes a late request only if it ends by its own limit or all recent answers were much shorter", async () => {
        grace.begin(graceMilliseconds);
        await clock.advance(balancerNoticeMilliseconds + 1);
        expect(isRefused(10_000), "nothing is known").to.equal(true);
        expect(isRefused(4_000)).to.equal(false);
        answer(100, 2_000);
        expect(isRefused(10_000)).to.equal(false);
        expect(isRefused(10_000, "unsafe"), "its outcome would be unknown").to.equal(true);
        await clock.advance(1_500);
        expect(isRefused(10_000)).to.equal(true);
    });

    it("refuses no request that has been sent to a server, and answers it at its end", async () => {
        grace.begin(graceMilliseconds);
        await clock.advance(graceMilliseconds);
        const running = createRequest({ timeout: 10_000 });
        running.recordSend(true);
        expect(grace.refuse(running)).to.equal(false);
        grace.end(running);
        expect(running.outcome()).to.include({ end: "failed" });
        const waiting = createRequest({ timeout: 10_000 });
        grace.end(waiting);
        expect(waiting.outcome()).to.include({ end: "refused" });
        expect(waiting.isDisconnected()).to.equal(true);
    });

    // Guards against answers that are whole, and that the stop breaks off since their callers haven't taken them yet.
    it("leaves a request alone that has been answered", async () => {
        const refused = createRequest({ timeout: 10_000 });
        refused.refuse(10, "no room");
        const answered = createRequest({ timeout: 10_000 });
        answered.recordSend(true);
        answered.sendAnswer({ status: 200, rawHeaders: [], framed: true }, Buffer.from("whole"));
        grace.begin(graceMilliseconds);
        await clock.advance(graceMilliseconds);
        expect(grace.refuse(refused)).to.equal(false);
        [refused, answered].forEach(request => grace.end(request));
        expect([refused, answered].map(request => request.isDisconnected())).to.deep.equal([false, false]);
    });

    // Guards against runs that begin late after a prefill or after a server that turned them away, and are cut.
    it("refuses a request that no server has run, although one has read its prompt or turned it away", async () => {
        grace.begin(graceMilliseconds);
        await clock.advance(graceMilliseconds - 1);
        for (const isRun of [false, true]) {
            const request = createRequest({ timeout: 10_000 });
            request.recordSend(isRun);
            request.recordSendEnd(isRun);
            expect(grace.refuse(request)).to.equal(true);
        }
    });

    // Guards against a request that may run only once, is taken soon after the signal, and gets no more than that its outcome isn't known.
    it("takes a request that may run only once only if it ends by its own limit, from its beginning on", () => {
        answer(100, 100);
        grace.begin(graceMilliseconds);
        expect(isRefused(10_000, "unsafe")).to.equal(true);
        expect(isRefused(graceMilliseconds, "unsafe")).to.equal(false);
    });
});
