import { expect } from "chai";
import { Readable } from "node:stream";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { AnswerLimits } from "../../backends/index.js";
import type { BackendSender, ExchangeOptions } from "../backendSender.js";
import { LoopMonitor } from "../loopMonitor.js";
import { prefillTimeout, requestPrefill } from "../prefilledPrompt.js";
import { createRequest } from "./fakeRequest.js";

const usualRequest = { remainingTime: () => 14_000, metadata: { promptTokens: 3_200 } };

// Guards against late requests at an unresponsive engine while others are idle: its connections stay open without an answer,
// and the prefill of any prompt timed out only after a second.
describe("the prefill timeout", () => {
    it("leaves time for the prefill of a usual prompt at another engine before its target", () => {
        const forecast = 120;
        expect(prefillTimeout(usualRequest, forecast) + 2 * forecast).to.be.below(900);
    });

    it("is longer if prompts queue, and never exceeds the maximum or the remaining time", () => {
        expect(prefillTimeout(usualRequest, 230)).to.be.above(prefillTimeout(usualRequest, 120));
        expect(prefillTimeout(usualRequest, 2_000)).to.equal(prefillTimeout(usualRequest, undefined));
        expect(prefillTimeout({ ...usualRequest, remainingTime: () => 90 }, 120)).to.equal(90);
    });

    it("tolerates an engine that takes four times as long as forecast", () => {
        expect(prefillTimeout(usualRequest, 112)).to.be.above(4 * 112);
    });
});

/** A prefill with a forecast, hence a timeout of 550 ms, at an engine that answers after the given time unless it is given up. */
async function prefillAfter(
    act: (clock: ManualClock, loop: LoopMonitor) => Promise<void>,
    remaining: number,
): Promise<string | undefined> {
    const clock = new ManualClock();
    const loop = LoopMonitor.create(clock);
    let answer = (): void => undefined;
    const sender = {
        send: (...[, , , , signal]: Parameters<BackendSender["send"]>) =>
            new Promise(resolve => {
                signal.addEventListener(
                    "abort",
                    () => resolve({ kind: "unknown", cause: "given up", lostOnPath: false }),
                );
                answer = () => {
                    const body = Readable.from([Buffer.from("handle")]);
                    resolve({
                        kind: "answer",
                        answer: { status: 200, rawHeaders: [], headers: {}, body, framed: true },
                    });
                };
            }),
    } as unknown as BackendSender;
    const wire = { parsePrefill: (body: string) => body };
    const options = { clock, loop, wire, answers: AnswerLimits.createDefault() } as unknown as ExchangeOptions;
    const prefilled = requestPrefill(options, sender, {
        request: createRequest({ timeout: remaining }),
        service: { name: "s", healthPath: "/health", connectionLimit: 50 },
        engine: announced({ id: "a" }),
        forecast: 100,
        signal: new AbortController().signal,
    });
    await act(clock, loop);
    answer();
    return (await prefilled).handle;
}

async function tick(clock: ManualClock, loop: LoopMonitor, milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 20) {
        await clock.advance(20);
        loop.activeClock.tick();
    }
}

describe("a prefill", () => {
    // Guards against engines that are excluded, and runs that are reported as lost, since nobody read what they answered.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`isn't given up for a standstill of its gateway of ${milliseconds} ms`, async () => {
            const handle = await prefillAfter(async (clock, loop) => {
                await tick(clock, loop, 300);
                clock.freeze(milliseconds);
                await clock.advance(0);
                loop.activeClock.tick();
                await tick(clock, loop, 200);
            }, 10_000);
            expect(handle).to.equal("handle");
        });
    }

    it("is given up at an engine that doesn't answer in time", async () => {
        expect(await prefillAfter((clock, loop) => tick(clock, loop, 600), 10_000)).to.equal(undefined);
    });

    it("is given up when its request's time has passed, also in a standstill", async () => {
        const handle = await prefillAfter(async clock => {
            clock.freeze(450);
            await clock.advance(0);
        }, 400);
        expect(handle).to.equal(undefined);
    });
});
