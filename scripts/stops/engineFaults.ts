import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** What engines do to streams; times in milliseconds against the first signal. */
export type EnginePlan = {
    /** When silent runs write nothing, before they go on. */
    readonly silentFrom: number;
    readonly silentMilliseconds: number;
    /** Shares of the runs that fall silent, and of the requests to go on with a stream that are turned down; 0 to 1. */
    readonly silentShare: number;
    readonly refusedShare: number;
};

/** Decides for each run of a stream what its engine does. */
export class EngineFaults {
    /** Monotonic clock. */
    private signalAt = Number.POSITIVE_INFINITY;

    private constructor(private readonly plan: EnginePlan, private readonly random: Randomness) {}

    static create(plan: EnginePlan, random: Randomness): EngineFaults {
        return new EngineFaults(plan, random);
    }

    /** Sets the time of the first signal, on the monotonic clock; no engine is silent before it's known. */
    setSignal(at: number): void {
        this.signalAt = at;
    }

    /** Draws whether a run falls silent. */
    drawSilent(): boolean {
        return this.random.fraction() < this.plan.silentShare;
    }

    /** Draws whether an engine turns down a request to go on with a stream. */
    drawRefused(): boolean {
        return this.random.fraction() < this.plan.refusedShare;
    }

    /** Milliseconds for which silent runs still write nothing; 0 if they write. */
    silenceLeft(): number {
        const since = performance.now() - this.signalAt - this.plan.silentFrom;
        return since < 0 ? 0 : Math.max(0, this.plan.silentMilliseconds - since);
    }
}
