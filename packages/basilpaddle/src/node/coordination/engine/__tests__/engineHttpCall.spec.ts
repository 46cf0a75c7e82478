import { expect } from "chai";
import { Dispatcher } from "undici";
import { cancelAnswerSchema } from "../../../protocol/index.js";
import { Clock, SystemClock } from "../../../utils/index.js";
import { resolveEngineLimits } from "../engineLimits.js";
import { JsonCall } from "../jsonCall.js";

/** A dispatcher that starts requests only when the test calls `start`. */
class ManualDispatcher extends Dispatcher {
    handler: Dispatcher.DispatchHandler | undefined;
    aborted = 0;

    override dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        this.handler = handler;
        return true;
    }

    start(): void {
        this.handler!.onRequestStart!(this.controller(), {});
    }

    breakConnection(): void {
        this.handler!.onResponseError!(this.controller(), new Error("broken"));
    }

    private controller(): Dispatcher.DispatchController {
        const abort = () => {
            this.aborted += 1;
        };
        return { aborted: false, paused: false, reason: undefined, abort, pause() {}, resume() {} } as never;
    }
}

/** A clock whose timers never fire, as in a process that has just resumed from a freeze. */
class ClockWithoutTimers extends Clock {
    now = 0;

    override monotonic(): number {
        return this.now;
    }

    override wall(): number {
        return this.now;
    }

    override after(): () => void {
        return () => {};
    }
}

function send(dispatcher: Dispatcher, connect: number, clock: Clock = SystemClock.create()) {
    const limits = resolveEngineLimits({ connect });
    const options = { method: "POST", path: "/" } as const;
    return JsonCall.send(dispatcher, options, cancelAnswerSchema, clock, limits, 60_000);
}

describe("a request that hasn't been sent", () => {
    it("is not run if connecting times out, and isn't sent if the connection succeeds later", async () => {
        // Guards against running a request that was reported as not run: connecting times out, the failure is reported, then
        // the connection succeeds and the queued request is sent.
        const dispatcher = new ManualDispatcher();
        const failure = (await send(dispatcher, 5)).swap().unsafeCoerce();
        expect(failure.kind).to.equal("notRun");
        dispatcher.start();
        expect(dispatcher.aborted).to.equal(1);
    });

    it("isn't sent by a process that resumes from a freeze before its timers have fired", async () => {
        // Guards against conflicting orders of two daemons at one engine: the holder of the orders lease starts to connect and
        // freezes, the lease passes to another daemon, the first one resumes, and its event loop handles the connection before
        // the timers. The time limit was enforced by a timer only.
        const dispatcher = new ManualDispatcher();
        const clock = new ClockWithoutTimers();
        const answer = send(dispatcher, 1_000, clock);
        clock.now = 60_000;
        dispatcher.start();
        expect(dispatcher.aborted).to.equal(1);
        expect((await answer).swap().unsafeCoerce().kind).to.equal("notRun");
    });

    it("has an unknown outcome once its first byte may have been sent, and isn't started twice", async () => {
        const dispatcher = new ManualDispatcher();
        const answer = send(dispatcher, 60_000);
        dispatcher.start();
        dispatcher.start();
        expect(dispatcher.aborted).to.equal(1);
        dispatcher.breakConnection();
        expect((await answer).swap().unsafeCoerce().kind).to.equal("unknown");
    });
});
