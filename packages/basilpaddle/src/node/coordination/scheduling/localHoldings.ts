import type { EngineHolding, Progress, SchedulingRequest } from "../../protocol/index.js";

/** Engines held by this daemon's attempts, for schedulers that ask for them. */
export class LocalHoldings {
    private readonly byAttempt = new Map<string, EngineHolding>();

    static create(): LocalHoldings {
        return new LocalHoldings();
    }

    /** Records the engines assigned to an attempt. */
    add(request: SchedulingRequest, prefill: string, decode: string): void {
        this.byAttempt.set(request.attempt, { demand: request, prefill, decode, stage: "prefilling", tokens: 0 });
    }

    /** Records that an attempt was moved to another decode engine. */
    move(attempt: string, decode: string): void {
        const holding = this.byAttempt.get(attempt);
        if (holding !== undefined) {
            this.byAttempt.set(attempt, { ...holding, decode });
        }
    }

    /** Updates an attempt's holding with its progress; final stages remove it. */
    progress(progress: Progress): void {
        const holding = this.byAttempt.get(progress.attempt);
        if (holding === undefined) {
            return;
        }
        if (progress.stage === "finished" || progress.stage === "cancelled" || progress.stage === "failed") {
            this.byAttempt.delete(progress.attempt);
            return;
        }
        const tokens = Math.max(holding.tokens, progress.tokens);
        this.byAttempt.set(progress.attempt, { ...holding, stage: progress.stage, tokens });
    }

    /** The holdings in a pool. */
    ofPool(pool: string): EngineHolding[] {
        return [...this.byAttempt.values()].filter(holding => holding.demand.pool === pool);
    }
}
