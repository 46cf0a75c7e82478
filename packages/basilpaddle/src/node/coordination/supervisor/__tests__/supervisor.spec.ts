import { expect } from "chai";
import type { Command, View } from "../../../protocol/index.js";
import { commands } from "../../../state/__tests__/commands.js";
import { Ledger, ViewState } from "../../../state/index.js";
import { AppliedIndexHistory } from "../appliedIndexHistory.js";
import { LivenessTable } from "../livenessTable.js";
import { runRecordRetentionMilliseconds, Supervisor } from "../supervisor.js";

const timing = { sessionTimeout: 4_000, backendTimeout: 5_000 };
const stepInterval = 200;

/** A leader's view and supervisor with a clock that the test advances. */
class Bench {
    readonly liveness = LivenessTable.create();
    readonly state = ViewState.create();
    readonly ledger = Ledger.create();
    wall = 1;
    now = 1_000_000;
    leadingSince: number | undefined = this.now;
    private index = 0;
    private readonly supervisor = Supervisor.create("control-1", timing, this.liveness);

    apply(...list: readonly Command[]): void {
        list.forEach(command => this.state.apply(++this.index, command));
    }

    recordHeartbeats(...daemons: readonly string[]): void {
        daemons.forEach(daemon =>
            this.liveness.recordSession(commands.session(daemon), { applied: 0, revision: 0 }, this.now)
        );
    }

    step(): readonly Command[] {
        return this.supervisor.step({
            view: this.view(),
            leadingSince: this.leadingSince,
            now: this.now,
            wall: this.wall,
            applied: this.ledger.appliedIndex(),
            hasRunsUpTo: index => this.ledger.hasRunsUpTo(index),
        });
    }

    /** Advances the time in steps, with heartbeats of the given daemons in each; returns the commands of the last step. */
    pass(milliseconds: number, ...daemons: readonly string[]): readonly Command[] {
        let last: readonly Command[] = [];
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now += stepInterval;
            this.recordHeartbeats(...daemons);
            last = this.step();
        }
        return last;
    }

    view(): View {
        return this.state.view();
    }
}

function kindsOf(list: readonly Command[]): string[] {
    return list.map(command => command.kind);
}

describe("the supervisor of a leader", () => {
    it("distributes the leases over the daemons with recent heartbeats, deterministically", () => {
        const bench = new Bench();
        bench.apply(...["a", "b", "c", "cut"].map(name => commands.open(name)), commands.change("one", 0));
        bench.recordHeartbeats("a", "b", "c");
        const granted = bench.step();
        expect(kindsOf(granted)).to.deep.equal(["grantLease", "grantLease"]);
        expect(bench.step()).to.deep.equal(granted);
        bench.apply(...granted);
        const holders = Object.values(bench.view().leases).map(lease => lease.holder.daemon);
        expect(new Set(holders).size).to.equal(2);
        expect(holders).not.to.include("cut");
        expect(bench.step()).to.deep.equal([]);
    });

    it("releases the lease of a pool that is no longer declared", () => {
        const bench = new Bench();
        bench.apply(commands.open("a"), commands.grant("scheduler/old", "a"), commands.grant("orders", "a"));
        bench.recordHeartbeats("a");
        expect(bench.step()).to.deep.include({
            kind: "releaseLease",
            lease: "scheduler/old",
            holder: commands.session("a"),
            at: 1,
        });
    });

    it("closes a silent session, and grants its leases to another one", () => {
        const bench = new Bench();
        bench.apply(commands.open("a"), commands.open("b"), commands.grant("orders", "a"));
        bench.recordHeartbeats("a", "b");
        bench.step();
        expect(bench.pass(timing.sessionTimeout - stepInterval, "b")).to.deep.equal([]);
        const closing = bench.pass(stepInterval, "b");
        expect(kindsOf(closing)).to.deep.equal(["closeSession"]);
        bench.apply(...closing);
        expect(bench.step()).to.deep.equal([commands.grant("orders", "b")]);
    });

    it("gives every session and backend server a full timeout under a new leader, whatever it received as a follower", () => {
        // Guards against closing every session and marking every backend server as gone after a change of leader: a control
        // daemon received no heartbeats for a minute, then became leader, and silence counted from before its election.
        const bench = new Bench();
        bench.apply(commands.open("a"), commands.announce("w", 1));
        bench.recordHeartbeats("a");
        bench.leadingSince = undefined;
        bench.pass(60_000);
        bench.leadingSince = bench.now;
        expect(bench.step()).to.deep.equal([]);
        expect(bench.pass(timing.sessionTimeout - stepInterval)).to.deep.equal([]);
        expect(kindsOf(bench.pass(stepInterval))).to.deep.equal(["closeSession"]);
    });

    it("gives every session a full timeout also if leadership returns after a moment", () => {
        const bench = new Bench();
        bench.apply(commands.open("a"));
        bench.recordHeartbeats("a");
        bench.pass(3_000);
        bench.leadingSince = bench.now;
        expect(bench.pass(timing.sessionTimeout)).to.deep.equal([]);
    });

    it("gives every session and backend server a full timeout after a pause of the leader itself", () => {
        // The same failure as under a new leader, after the leader's process was stopped for a while and continued.
        const bench = new Bench();
        bench.apply(commands.open("a"), commands.announce("w", 1), commands.grant("orders", "a"));
        bench.recordHeartbeats("a");
        bench.step();
        bench.now += 30_000;
        expect(bench.step()).to.deep.equal([]);
        expect(kindsOf(bench.pass(timing.backendTimeout, "a"))).to.deep.equal(["markBackend"]);
    });

    it("marks a silent backend server as gone, once, and none while most entry daemons are silent", () => {
        // Guards against marking every backend server as gone while it is still serving: the leader lost the connection to
        // most entry daemons, which relay the heartbeats of backend servers, and treated that silence as theirs.
        const bench = new Bench();
        const daemons = ["a", "b", "c"];
        bench.apply(
            ...daemons.map(name => commands.open(name)),
            commands.announce("w", 1),
            commands.grant("orders", "a"),
        );
        bench.recordHeartbeats(...daemons);
        bench.step();
        expect(kindsOf(bench.pass(3_800, "a"))).not.to.include("markBackend");
        expect(kindsOf(bench.pass(3_800, ...daemons))).not.to.include("markBackend");
        const marks = bench.pass(2_000, ...daemons);
        expect(marks).to.deep.equal([{ ...commands.mark("w", 1, "gone"), by: "control-1" }]);
        bench.apply(...marks);
        expect(bench.step()).to.deep.equal([]);
    });

    it("expires run records by the leader's monotonic time, not by wall clocks", () => {
        // Guards against running a request twice: a leader whose wall clock is a year ahead, or whose process just started,
        // expired a fresh record before the request was retried, because the age of records was measured by wall clocks.
        const bench = new Bench();
        bench.wall = 365 * 24 * 3_600_000;
        bench.ledger.apply(1, commands.start("k", "t"));
        bench.step();
        bench.now += runRecordRetentionMilliseconds / 2;
        bench.ledger.apply(2, commands.start("l", "t"));
        bench.step();
        bench.now += runRecordRetentionMilliseconds / 2 - 1;
        expect(bench.step()).to.deep.equal([]);
        bench.now += 5_001;
        const [expiry, ...others] = bench.step();
        expect(others).to.deep.equal([]);
        expect(expiry).to.deep.equal({ kind: "expireRuns", upTo: 1, at: bench.wall });
        bench.ledger.apply(3, expiry!);
        expect(bench.ledger.apply(4, commands.start("l", "u")).kind).to.equal("known");
        expect(bench.ledger.apply(5, commands.start("k", "u")).kind).to.equal("started");
        bench.now += 5_000;
        expect(bench.step()).to.deep.equal([]);
    });

    it("samples the applied index in bounded memory over days", () => {
        const history = AppliedIndexHistory.create(runRecordRetentionMilliseconds);
        for (let second = 0; second < 2 * 86_400; second++) {
            history.record(second, second * 1_000);
        }
        expect(history.size).to.be.at.most(runRecordRetentionMilliseconds / 60_000 + 2);
        expect(history.appliedBeforeRetention(2 * 86_400_000)).to.be.within(
            2 * 86_400 - runRecordRetentionMilliseconds / 1_000 - 61,
            2 * 86_400 - runRecordRetentionMilliseconds / 1_000,
        );
    });
});
