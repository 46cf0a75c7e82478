import { expect } from "chai";
import { commands } from "../../../state/__tests__/commands.js";
import { ViewState } from "../../../state/index.js";
import { InForceTracker } from "../inForce.js";
import { LivenessTable } from "../livenessTable.js";

const timing = { viewLease: 3_000, clockDrift: 0.02 };
const lease = 3_060;
const startedAt = 0;
const committedAt = 100_000;

function createBench(...daemons: readonly string[]) {
    const state = ViewState.create();
    daemons.forEach((daemon, position) => state.apply(position + 1, commands.open(daemon)));
    const liveness = LivenessTable.create();
    const inForce = InForceTracker.create(timing, startedAt);
    const change = { index: 10, committedAt };
    return {
        inForce,
        confirm: (daemon: string, applied: number, incarnation = "1") =>
            liveness.recordSession(commands.session(daemon, incarnation), { applied, revision: 1 }, committedAt),
        at: (now: number, leadingSince = startedAt) =>
            inForce.status(change, leadingSince, state.view(), liveness, now),
    };
}

describe("a change", () => {
    it("is in force once every open session confirmed it", () => {
        const { at, confirm } = createBench("a", "b");
        confirm("a", 10);
        confirm("b", 9);
        expect(at(committedAt + 1)).to.deep.equal({ kind: "waiting", daemons: ["b"], until: committedAt + lease });
        confirm("b", 10);
        expect(at(committedAt + 1).kind).to.equal("inForce");
    });

    it("isn't confirmed by an earlier incarnation of the daemon", () => {
        // Guards against a restarted daemon that serves an old configuration after `accepted`, because the confirmation of its
        // previous incarnation counted.
        const { at, confirm } = createBench("a");
        confirm("a", 10, "0");
        expect(at(committedAt + 1).kind).to.equal("waiting");
    });

    it("is in force without a silent daemon only once its lease has certainly expired, clock drift included", () => {
        const { at } = createBench("a");
        expect(at(committedAt + lease - 1).kind).to.equal("waiting");
        expect(at(committedAt + lease).kind).to.equal("inForce");
    });

    it("waits for a whole lease under a new leader", () => {
        // Guards against `accepted` while a daemon confirmed by the previous leader still works under the old view: the new
        // leader counted the lease from the change, which may be long ago, instead of from its own election.
        const { at } = createBench("a");
        const leadingSince = committedAt + 50_000;
        expect(at(leadingSince + lease - 1, leadingSince).kind).to.equal("waiting");
        expect(at(leadingSince + lease, leadingSince).kind).to.equal("inForce");
    });

    it("waits for the lease of a daemon whose session was closed a moment ago", () => {
        // Guards against `accepted` while a daemon that is partitioned from the leader still works under the old view. Other
        // voters confirm its view, the leader receives no heartbeats and closes its session, and a change follows: no open
        // session lacks the change, and only open sessions were checked.
        const { at, inForce } = createBench();
        inForce.recordSessionClosed(committedAt - 1_000);
        expect(at(committedAt + 1)).to.deep.equal({ kind: "waiting", daemons: [], until: committedAt - 1_000 + lease });
        expect(at(committedAt - 1_000 + lease).kind).to.equal("inForce");
    });
});
