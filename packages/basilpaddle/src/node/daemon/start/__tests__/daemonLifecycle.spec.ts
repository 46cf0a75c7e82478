import { expect } from "chai";
import { EventEmitter } from "node:events";
import { createSilentLogger } from "../../../utils/index.js";
import { EarlyStopSignals, serveUntilStopped } from "../daemonLifecycle.js";
import { RunningDaemon, type ShutdownReport } from "../runningDaemon.js";

/** A daemon with one request in progress, which completes on `finish()` or is aborted by a second call of `stop()`. */
class FakeDaemon extends RunningDaemon {
    override readonly failure: Promise<string>;
    fail!: (cause: string) => void;
    finish!: () => void;
    stopCalls = 0;
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

    override stop(): Promise<ShutdownReport> {
        this.stopCalls += 1;
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
});
