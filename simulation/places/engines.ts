import type { EngineFigures } from "./day.js";

/** Prefill speed of a decode engine, relative to a prefill engine. */
const localPrefillSpeedFraction = 0.5;

/** A prefill engine that processes prompts one at a time. */
export class EmulatedPrefill {
    private availableAt = 0;

    constructor(private readonly figures: EngineFigures, public slowness: number) {}

    /** Queues a prompt; returns the time at which its prefill finishes. */
    enqueue(tokens: number, now: number): number {
        const { promptTokensPerMillisecond, readingOverhead } = this.figures;
        const work = (readingOverhead + tokens / promptTokensPerMillisecond) * this.slowness;
        this.availableAt = Math.max(now, this.availableAt) + work;
        return this.availableAt;
    }
}

type Run = {
    readonly name: string;
    /** Tokens in the KV cache. */
    tokens: number;
    /** Remaining decode steps, including the steps that a prefill on this engine takes. */
    remainingSteps: number;
    /** Remaining steps at which the first event is sent. */
    readonly firstAt: number;
    /** Remaining steps at the last report of its writing. */
    reportedSteps: number;
    hasFirstEvent: boolean;
};

/** A run at a decode engine sent its first event or finished. */
export type RunProgress = { readonly name: string; readonly kind: "first" | "done"; };

/** A decode engine with continuous batching. When its KV cache is full, the newest run is preempted and computed again later. */
export class EmulatedDecode {
    private runs: Run[] = [];
    private preempted: Run[] = [];
    /** Tokens that were computed again after preemptions. */
    recomputedPromptTokens = 0;

    constructor(private readonly figures: EngineFigures, public slowness: number) {}

    /**
     * Starts a run, or rejects it if its prompt was prefilled elsewhere and doesn't fit into the KV cache.
     * @param tokensToPrefill tokens of the prompt that this engine prefills itself
     * @returns whether the run was started
     */
    tryStart(name: string, promptTokens: number, answerTokens: number, tokensToPrefill: number): boolean {
        if (tokensToPrefill === 0 && this.usedTokens() + promptTokens > this.figures.cacheTokens) {
            return false;
        }
        const remainingSteps = answerTokens + this.prefillStepCount(tokensToPrefill);
        const firstAt = Math.max(0, answerTokens - this.figures.eventTokens);
        this.runs.push({
            name,
            tokens: promptTokens,
            remainingSteps,
            firstAt,
            reportedSteps: firstAt,
            hasFirstEvent: false,
        });
        return true;
    }

    /** Advances all runs of the batch; returns their progress. */
    advance(milliseconds: number): RunProgress[] {
        const { step, stepPerRun } = this.figures;
        const generatedTokens = milliseconds / ((step + stepPerRun * this.runs.length) * this.slowness);
        const progress: RunProgress[] = [];
        for (const run of this.runs) {
            run.remainingSteps -= generatedTokens;
            run.tokens += generatedTokens;
            if (!run.hasFirstEvent && run.remainingSteps <= run.firstAt) {
                run.hasFirstEvent = true;
                progress.push({ name: run.name, kind: "first" });
            }
            if (run.remainingSteps <= 0) {
                progress.push({ name: run.name, kind: "done" });
            }
        }
        this.runs = this.runs.filter(run => run.remainingSteps > 0);
        this.preemptOrResume();
        return progress;
    }

    /** Events of a run since the previous call; 0 if it isn't running. */
    takeEvents(name: string): number {
        const run = this.runs.find(one => one.name === name);
        if (run === undefined || !run.hasFirstEvent) {
            return 0;
        }
        const { eventTokens } = this.figures;
        const events = Math.max(0, Math.floor((run.reportedSteps - run.remainingSteps) / eventTokens));
        run.reportedSteps -= events * eventTokens;
        return events;
    }

    /** Discards all runs and returns their names. */
    crash(): string[] {
        const lost = [...this.runs, ...this.preempted].map(({ name }) => name);
        this.runs = [];
        this.preempted = [];
        return lost;
    }

    /** Cancels a run whose caller disconnected. */
    drop(name: string): void {
        this.runs = this.runs.filter(run => run.name !== name);
        this.preempted = this.preempted.filter(run => run.name !== name);
    }

    private usedTokens(): number {
        return this.runs.reduce((sum, run) => sum + run.tokens, 0);
    }

    private preemptOrResume(): void {
        let used = this.usedTokens();
        while (used > this.figures.cacheTokens && this.runs.length > 1) {
            const last = this.runs.pop()!;
            used -= last.tokens;
            this.preempted.push(last);
        }
        const next = this.preempted[0];
        if (next !== undefined && used + next.tokens < this.figures.cacheTokens) {
            this.preempted.shift();
            this.recomputedPromptTokens += next.tokens;
            next.remainingSteps += this.prefillStepCount(next.tokens);
            this.runs.push(next);
        }
    }

    /** Decode steps that take as long as the prefill of a prompt on this engine. */
    private prefillStepCount(tokens: number): number {
        return tokens / (this.figures.promptTokensPerMillisecond * localPrefillSpeedFraction) / this.figures.step;
    }
}
