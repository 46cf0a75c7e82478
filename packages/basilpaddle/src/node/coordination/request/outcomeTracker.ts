import type { Outcome } from "../../protocol/index.js";
import type { EngineFailure } from "../engine/engine.js";

/** Tracks what backend servers may have run of a request, over all attempts. Once a call has ended, it never improves. */
export class OutcomeTracker {
    private current: Outcome = "notRun";
    private beforeCall: Outcome = "notRun";

    static create(): OutcomeTracker {
        return new OutcomeTracker();
    }

    /** The outcome to report to the caller. `notRun` only if nothing was sent, or every call was provably refused. */
    get outcome(): Outcome {
        return this.current;
    }

    /** Records that a call is about to be made. Until it is answered, the outcome is unknown. */
    recordCallStart(): void {
        this.beforeCall = this.current;
        this.current = "unknown";
    }

    /** Records that the engine's answer shows that the call was executed. */
    recordExecution(): void {
        this.current = this.beforeCall === "unknown" ? "unknown" : "failedAfterStarting";
    }

    /** Records that the call failed. A proven refusal restores the outcome from before the call. */
    recordFailure(failure: EngineFailure): void {
        if (failure.kind === "notRun") {
            this.current = this.beforeCall;
        }
        else if (failure.kind === "failed") {
            this.recordExecution();
        }
    }
}
