import type { Demand, Holding, Progress } from "../../protocol/index.js";

/** What this daemon's attempts hold at engines, for the schedulers that ask. */
export class HeldAttempts {
    private readonly held = new Map<string, Holding>();

    static create(): HeldAttempts {
        return new HeldAttempts();
    }

    /** Notes engines that were assigned to an attempt. */
    add(demand: Demand, prefill: string, decode: string): void {
        this.held.set(demand.attempt, { demand, prefill, decode, stage: "prefilling", tokens: 0 });
    }

    /** Notes that an attempt holds another decode engine. */
    move(attempt: string, decode: string): void {
        const holding = this.held.get(attempt);
        if (holding !== undefined) {
            this.held.set(attempt, { ...holding, decode });
        }
    }

    /** Notes how an attempt gets on. */
    progress(progress: Progress): void {
        const holding = this.held.get(progress.attempt);
        if (holding === undefined) {
            return;
        }
        if (progress.stage === "finished" || progress.stage === "cancelled" || progress.stage === "failed") {
            this.held.delete(progress.attempt);
            return;
        }
        const tokens = Math.max(holding.tokens, progress.tokens);
        this.held.set(progress.attempt, { ...holding, stage: progress.stage, tokens });
    }

    /** What is held in a pool. */
    ofPool(pool: string): Holding[] {
        return [...this.held.values()].filter(holding => holding.demand.pool === pool);
    }
}
