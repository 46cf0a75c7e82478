import { answerCrashQuery } from "../../coordination/index.js";
import type { PeerAnswer, PeerRequest } from "../../protocol/index.js";
import type { ControlCore } from "./core.js";

type ConfirmView = Extract<PeerRequest, { kind: "confirmView"; }>;
type ViewAnswer = Extract<PeerAnswer, { kind: "viewAnswer"; }>;
type ViewUpdate = Pick<ViewAnswer, "steps" | "snapshot">;

/** Maximum number of steps in an answer; a daemon that is further behind is sent the whole view. */
const maxSteps = 256;
/** Maximum size of the steps in an answer. */
const maxStepsBytes = 1024 * 1024;

/** Answers an entry daemon's request to confirm that its view is the newest, from this control daemon's own state. */
export function answerConfirmView(core: ControlCore, request: ConfirmView): ViewAnswer {
    const now = core.clock.monotonic();
    const { applied, revision } = request;
    core.livenessTable.recordSession(request.session, { applied, revision }, now);
    for (const { id, incarnation } of request.renewals) {
        core.livenessTable.recordBackend(id, incarnation, now);
    }
    const status = core.replica.currentStatus();
    return {
        kind: "viewAnswer",
        voter: status.identity,
        voting: status.voting,
        voters: [...status.voters],
        term: status.term,
        leader: status.leader,
        appendedView: status.appendedView,
        committedView: core.ledger.view().index,
        ...(request.wantsSteps ? viewUpdateAfter(core, applied) : {}),
        ...(request.crashes === undefined ? {} : { crashes: answerCrashQuery(core.quarantine, request.crashes) }),
    };
}

/** Returns nothing for a daemon that is up to date or ahead, so that a control daemon that was isolated never sends its outdated view. */
function viewUpdateAfter(core: ControlCore, applied: number): ViewUpdate {
    const view = core.ledger.view();
    if (view.index <= applied) {
        return {};
    }
    const steps = core.ledger.missingSteps({ after: applied, count: maxSteps, bytes: maxStepsBytes });
    return steps === undefined ? { snapshot: view } : { steps: [...steps] };
}
