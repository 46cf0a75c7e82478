import type { EngineAllocation, Progress, SchedulingRequest } from "../../protocol/index.js";

/** Engines allocated to this daemon's attempts. A new scheduler queries them to learn which slots are in use. */
export class LocalAllocations {
    private readonly byAttempt = new Map<string, EngineAllocation>();

    static create(): LocalAllocations {
        return new LocalAllocations();
    }

    /** Records the engines assigned to an attempt. */
    add(request: SchedulingRequest, prefill: string, decode: string): void {
        this.byAttempt.set(request.attempt, { demand: request, prefill, decode, stage: "prefilling", tokens: 0 });
    }

    /** Records that an attempt was moved to another decode engine. */
    move(attempt: string, decode: string): void {
        const allocation = this.byAttempt.get(attempt);
        if (allocation !== undefined) {
            this.byAttempt.set(attempt, { ...allocation, decode });
        }
    }

    /** Updates an attempt's allocation with its progress; final stages remove it. */
    progress(progress: Progress): void {
        const allocation = this.byAttempt.get(progress.attempt);
        if (allocation === undefined) {
            return;
        }
        if (progress.stage === "finished" || progress.stage === "cancelled" || progress.stage === "failed") {
            this.byAttempt.delete(progress.attempt);
            return;
        }
        const tokens = Math.max(allocation.tokens, progress.tokens);
        this.byAttempt.set(progress.attempt, { ...allocation, stage: progress.stage, tokens });
    }

    /** The allocations in a pool. */
    ofPool(pool: string): EngineAllocation[] {
        return [...this.byAttempt.values()].filter(allocation => allocation.demand.pool === pool);
    }
}
