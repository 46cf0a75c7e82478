import type { Outcome } from "../../protocol/index.js";
import type { EngineFailure } from "../engine/engine.js";

/**
 * Tracks over all attempts what backend servers may have run of a request. The outcome of an ended call is never improved
 * later.
 */
export class OutcomeTracker {
    private current: Outcome = "notRun";
    private outcomeBeforeCall: Outcome = "notRun";

    static create(): OutcomeTracker {
        return new OutcomeTracker();
    }

    /** The outcome to report to the caller. `notRun` only if nothing was sent, or every call was provably refused. */
    get outcome(): Outcome {
        return this.current;
    }

    /** Records that a call is about to be made. Until it is answered, the outcome is unknown. */
    recordCallStart(): void {
        this.outcomeBeforeCall = this.current;
        this.current = "unknown";
    }

    /** Records that the engine's answer shows that the call was executed. */
    recordExecution(): void {
        this.current = this.outcomeBeforeCall === "unknown" ? "unknown" : "failedAfterStarting";
    }

    /** Records that the call failed. A proven refusal restores the outcome from before the call. */
    recordFailure(failure: EngineFailure): void {
        if (failure.kind === "notRun") {
            this.current = this.outcomeBeforeCall;
        }
        else if (failure.kind === "failed") {
            this.recordExecution();
        }
    }
}
