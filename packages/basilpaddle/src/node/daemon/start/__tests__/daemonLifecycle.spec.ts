import { expect } from "chai";
import { EventEmitter } from "node:events";
import { createSilentLogger, SystemClock, tickMilliseconds } from "../../../utils/index.js";
import { EarlyStopSignals, serveUntilStopped } from "../daemonLifecycle.js";
import { RunningDaemon, type ShutdownReport } from "../runningDaemon.js";

/** A daemon with one request in progress, which completes on `finish()` or is aborted by a second call of `stop()`. */
class FakeDaemon extends RunningDaemon {
    override readonly failure: Promise<string>;
    fail!: (cause: string) => void;
    finish!: () => void;
    stopCalls = 0;
    signalledAt: number | undefined;
    private readonly ended: Promise<ShutdownReport>;
    private end!: (report: ShutdownReport) => void;

    constructor() {
        super();
        this.failure = new Promise(resolve => {
            this.fail = resolve;
        });
        this.ended = new Promise(resolve => {
            this.end = resolve;
            this.finish = () => resolve({ abortedRequests: [] });
        });
    }

    override stop(signalledAt?: number): Promise<ShutdownReport> {
        this.stopCalls += 1;
        this.signalledAt ??= signalledAt;
        if (this.stopCalls > 1) {
            this.end({ abortedRequests: ["request-1"] });
        }
        return this.ended;
    }
}

describe("a daemon's lifecycle", () => {
    let daemon: FakeDaemon;
    let signals: EventEmitter;
    let ended: ReturnType<typeof serveUntilStopped>;
    beforeEach(() => {
        daemon = new FakeDaemon();
        signals = new EventEmitter();
        ended = serveUntilStopped(daemon, createSilentLogger(), signals);
    });

    it("ends as stopped once the requests in progress have completed", async () => {
        signals.emit("SIGTERM", "SIGTERM");
        expect(daemon.stopCalls).to.equal(1);
        daemon.finish();
        expect(await ended).to.deep.equal({ kind: "stopped" });
        expect(signals.eventNames()).to.deep.equal([]);
    });

    it("aborts requests in progress on a second signal and reports them", async () => {
        signals.emit("SIGTERM", "SIGTERM");
        signals.emit("SIGINT", "SIGINT");
        expect(await ended).to.deep.equal({ kind: "cutOff", abortedRequests: ["request-1"] });
    });

    // Guards against a daemon that takes a whole processor for ever once nobody reads its log.
    it("ends as failed if its log can't be written, and logs that once", async () => {
        let logged = 0;
        const failToWrite = (): undefined => {
            logged += 1;
            if (logged < 100) {
                process.nextTick(() => signals.emit("uncaughtException", new Error("EPIPE")));
            }
        };
        signals.removeAllListeners();
        ended = serveUntilStopped(daemon, Object.assign(createSilentLogger(), { fatal: failToWrite }), signals);
        signals.emit("uncaughtException", new Error("EPIPE"));
        expect(await ended).to.deep.equal({ kind: "failed", cause: "an uncaught error" });
        expect(logged).to.equal(1);
    });

    it("ends as failed on an uncaught error, without a graceful shutdown", async () => {
        signals.emit("uncaughtException", new Error("a fault"));
        expect(await ended).to.deep.equal({ kind: "failed", cause: "an uncaught error" });
        expect(daemon.stopCalls).to.equal(0);
    });

    it("ends as failed when the daemon reports a failure", async () => {
        daemon.fail("the disk failed");
        expect(await ended).to.deep.equal({ kind: "failed", cause: "the disk failed" });
    });

    // Guards against a process that a stop signal terminates while its daemon starts, with nothing closed.
    it("ends as stopped on a signal that arrived while it started", async () => {
        const starting = new EventEmitter();
        const early = EarlyStopSignals.create(starting);
        starting.emit("SIGTERM", "SIGTERM");
        const started = new FakeDaemon();
        const end = serveUntilStopped(started, createSilentLogger(), starting, early.take());
        expect(started.stopCalls).to.equal(1);
        started.finish();
        expect(await end).to.deep.equal({ kind: "stopped" });
        expect(starting.eventNames()).to.deep.equal([]);
    });

    // Guards against a grace period that counts from the end of a slow start, while the platform counts from the signal.
    it("tells the daemon when a signal may have come at the earliest that it handled while it started", async () => {
        const clock = SystemClock.create();
        const starting = new EventEmitter();
        const createdAt = clock.monotonic();
        const early = EarlyStopSignals.create(starting, clock);
        await later(100);
        const readyAt = clock.monotonic();
        // Each is a turn of the event loop at least, so that ticks are remembered however busy the machine is.
        for (let turn = 0; turn < 6; turn++) {
            await later(tickMilliseconds);
        }
        const sentAt = clock.monotonic();
        while (clock.monotonic() - sentAt < 300) {
            // The event loop stands still.
        }
        starting.emit("SIGTERM", "SIGTERM");
        await later(100);
        const started = new FakeDaemon();
        const end = serveUntilStopped(started, createSilentLogger(), starting, early.take());
        started.finish();
        expect(await end).to.deep.equal({ kind: "stopped" });
        expect(started.signalledAt).to.be.within(readyAt, sentAt);
        expect(createdAt).to.be.lessThan(readyAt);
    });

    // Guards against a time from before the handler, when a signal would have ended the process.
    it("takes no signal to have come before it was collected", () => {
        const clock = SystemClock.create();
        const starting = new EventEmitter();
        const createdAt = clock.monotonic();
        const early = EarlyStopSignals.create(starting, clock);
        const collectedAt = clock.monotonic();
        starting.emit("SIGINT", "SIGINT");
        const [signal, ...others] = early.take();
        expect(signal?.name).to.equal("SIGINT");
        expect(signal?.signalledAt).to.be.within(createdAt, collectedAt);
        expect(others).to.deep.equal([]);
    });
});

function later(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
