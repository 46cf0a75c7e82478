import { answerCrashes } from "../../coordination/index.js";
import type { PeerAnswer, PeerRequest } from "../../protocol/index.js";
import type { ControlCore } from "./core.js";

type ConfirmView = Extract<PeerRequest, { kind: "confirmView"; }>;
type ViewAnswer = Extract<PeerAnswer, { kind: "viewAnswer"; }>;
type News = Pick<ViewAnswer, "steps" | "snapshot">;

/** Steps that one answer carries at most; a daemon further behind gets the whole view. */
const stepsCount = 256;
/** Bytes of steps that one answer carries at most. */
const stepsBytes = 1024 * 1024;

/** Answers an entry daemon's question whether its view is the newest, from what this control daemon holds itself. */
export function answerConfirmView(core: ControlCore, question: ConfirmView): ViewAnswer {
    const now = core.clock.monotonic();
    const { applied, revision } = question;
    core.hearing.heardSession(question.session, { applied, revision }, now);
    for (const { id, incarnation } of question.renewals) {
        core.hearing.heardBackend(id, incarnation, now);
    }
    const standing = core.replica.standing();
    return {
        kind: "viewAnswer",
        voter: standing.identity,
        voting: standing.voting,
        voters: [...standing.voters],
        term: standing.term,
        leader: standing.leader,
        appendedView: standing.appendedView,
        committedView: core.ledger.view().index,
        ...(question.wantsSteps ? newsAfter(core, applied) : {}),
        ...(question.crashes === undefined ? {} : { crashes: answerCrashes(core.held, question.crashes) }),
    };
}

/** Nothing for a daemon that is as far or further: an old view of a control daemon that was cut off stays here. */
function newsAfter(core: ControlCore, applied: number): News {
    const view = core.ledger.view();
    if (view.index <= applied) {
        return {};
    }
    const steps = core.ledger.missingSteps({ after: applied, count: stepsCount, bytes: stepsBytes });
    return steps === undefined ? { snapshot: view } : { steps: [...steps] };
}
