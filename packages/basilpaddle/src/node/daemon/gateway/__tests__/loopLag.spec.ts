import { expect } from "chai";
import { blockEventLoop } from "../../../../../../../playground/harness/wait.js";
import { SilentMetrics, SystemClock } from "../../../utils/index.js";
import type { CallerRequest } from "../callerRequest.js";
import { LoopLag } from "../loopLag.js";
import { LoopMonitor } from "../loopMonitor.js";
import { refuseOverdue } from "../refuseOverdue.js";
import { createRequest } from "./fakeRequest.js";

function lagWithTicks(...ticks: number[]): LoopLag {
    const lag = LoopLag.create();
    ticks.forEach(tick => lag.recordTick(tick));
    return lag;
}

describe("the lag of an event loop", () => {
    // Guards against a change for requests of a gateway that doesn't lag, also one whose share of the processor delays each turn.
    for (const interval of [20, 23, 110]) {
        it(`is none if ticks come every ${interval} ms: requests arrive when they are read`, () => {
            const lag = LoopLag.create();
            for (let now = 0; now < 5_000; now += interval) {
                lag.recordTick(now);
                const readAt = now + interval - 1;
                expect(lag.isLagging(readAt)).to.equal(false);
                expect(lag.earliestArrival(readAt, { acceptedAt: readAt - 1, openedAt: readAt - 1 })).to.equal(readAt);
            }
        });
    }

    it("is none before two ticks, and after those of a second have come in time again", () => {
        expect(LoopLag.create().earliestTime(9_000)).to.equal(9_000);
        const lag = lagWithTicks(0, 1_000, 1_020, 1_040, 1_060, 1_080);
        expect(lag.isLagging(1_090)).to.equal(false);
        expect(lag.earliestTime(1_090)).to.equal(1_090);
    });

    it("of a second makes a request as old as its begin, whether a tick came before it was read or not", () => {
        expect(lagWithTicks(0, 20, 1_020).earliestTime(1_023)).to.equal(20);
        expect(lagWithTicks(0, 20).earliestTime(1_023)).to.equal(0);
        expect(lagWithTicks(0, 20, 1_020).isLagging(1_023)).to.equal(true);
    });

    it("includes what a connection waited to be accepted, but not for a later request on it", () => {
        const lag = lagWithTicks(0, 1_000, 1_200);
        const connection = { acceptedAt: 1_001, openedAt: 0 };
        expect(lag.earliestArrival(1_210, connection)).to.equal(0);
        lag.recordTick(1_220);
        lag.recordTick(1_240);
        expect(lag.earliestArrival(1_250, connection)).to.equal(1_250);
    });

    it("of ten seconds makes a request at most two seconds old", () => {
        expect(lagWithTicks(0, 20, 10_020).earliestTime(10_021)).to.equal(8_021);
        expect(lagWithTicks(0, 10_000, 10_200).earliestArrival(10_201, { acceptedAt: 10_001, openedAt: 0 }))
            .to.equal(8_201);
    });
});

describe("the monitor of an event loop", () => {
    it("reports the lag since the last report, and none before it is started", async () => {
        const gauges = new Map<string, number>();
        const metrics = new class extends SilentMetrics {
            override gauge(_name?: string, value = 0, labels: { readonly quantile?: string; } = {}): void {
                gauges.set(labels.quantile ?? "", value);
            }
        }();
        const loop = LoopMonitor.create(SystemClock.create());
        loop.measure(metrics);
        expect([...gauges]).to.deep.equal([["0.5", 0], ["0.99", 0]]);
        const stop = loop.start();
        await new Promise(resolve => setTimeout(resolve, 30));
        blockEventLoop(300);
        await new Promise(resolve => setTimeout(resolve, 1));
        expect(loop.isLagging()).to.equal(true);
        stop();
        loop.measure(metrics);
        expect(gauges.get("0.99")).to.be.within(250, 1_000);
    });
});

describe("a request that waited unread", () => {
    async function isRefused(request: CallerRequest): Promise<boolean> {
        return refuseOverdue(LoopMonitor.create(SystemClock.create()), request, SilentMetrics.create());
    }

    // Guards against refusing a request for the lag alone: it may have come at the end of the late turn.
    it("is served with half or more of its time left", async () => {
        expect(await isRefused(createRequest({ timeout: 2_000 }, undefined, 1_000))).to.equal(false);
        expect(await isRefused(createRequest({ timeout: 9_000, target: 300, prompts: true }, undefined, 1_000))).to
            .equal(false);
    });

    it("is refused as not run if its caller must have left by its deadline, or by the timeout of the first event", async () => {
        for (const route of [{ timeout: 1_000 }, { timeout: 9_000, target: 300, prompts: true }]) {
            const request = createRequest(route, undefined, 2_000);
            expect(await isRefused(request)).to.equal(true);
            expect(request.outcome()?.end).to.equal("refused");
        }
    });

    it("whose caller has left isn't refused but ends as that", async () => {
        const request = createRequest({ timeout: 1_000 }, undefined, 2_000);
        request.incoming.socket.destroy();
        expect(await isRefused(request)).to.equal(true);
        expect(request.outcome()?.end).to.equal("callerGone");
    });
});
