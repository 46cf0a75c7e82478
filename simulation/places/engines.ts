import type { EngineFigures } from "./day.js";

/** Part of its speed at which a decode engine reads prompts itself. */
const selfReadSpeed = 0.5;

/** An engine that reads prompts, one after the other. */
export class EmulatedPrefill {
    private freeAt = 0;

    constructor(private readonly figures: EngineFigures, public slowness: number) {}

    /** Takes a prompt; gives when it will be read. */
    read(tokens: number, now: number): number {
        const { promptTokensPerMillisecond, readingOverhead } = this.figures;
        const work = (readingOverhead + tokens / promptTokensPerMillisecond) * this.slowness;
        this.freeAt = Math.max(now, this.freeAt) + work;
        return this.freeAt;
    }
}

type Run = {
    readonly name: string;
    /** Tokens of KV cache held. */
    tokens: number;
    /** Tokens still to come, those of a prompt to be read here among them, weighed by their time. */
    left: number;
    /** Tokens left at which the first event has come. */
    readonly firstAt: number;
    hasBegun: boolean;
};

/** What came about at a decode engine. */
export type RunProgress = { readonly name: string; readonly kind: "first" | "done"; };

/** An engine that makes answers in batches; where its memory runs out, the newest run is put back and read in anew. */
export class EmulatedDecode {
    private runs: Run[] = [];
    private waiting: Run[] = [];
    /** Tokens that were read again after a run was put back. */
    readAgain = 0;

    constructor(private readonly figures: EngineFigures, public slowness: number) {}

    /**
     * Begins a run; `unread`: tokens of its prompt that this engine reads itself. Gives whether it takes the run: a prompt
     * that was read elsewhere is turned away where there is no memory for it.
     */
    begin(name: string, promptTokens: number, answerTokens: number, unread: number): boolean {
        if (unread === 0 && this.held() + promptTokens > this.figures.cacheTokens) {
            return false;
        }
        const left = answerTokens + this.readingSteps(unread);
        const firstAt = Math.max(0, answerTokens - this.figures.eventTokens);
        this.runs.push({ name, tokens: promptTokens, left, firstAt, hasBegun: false });
        return true;
    }

    /** Lets time pass. Gives what came about. */
    pass(milliseconds: number): RunProgress[] {
        const { step, stepPerRun } = this.figures;
        const made = milliseconds / ((step + stepPerRun * this.runs.length) * this.slowness);
        const progress: RunProgress[] = [];
        for (const run of this.runs) {
            run.left -= made;
            run.tokens += made;
            if (!run.hasBegun && run.left <= run.firstAt) {
                run.hasBegun = true;
                progress.push({ name: run.name, kind: "first" });
            }
            if (run.left <= 0) {
                progress.push({ name: run.name, kind: "done" });
            }
        }
        this.runs = this.runs.filter(run => run.left > 0);
        this.makeRoom();
        return progress;
    }

    /** Ends at once with all that it holds; gives the names of its runs. */
    crash(): string[] {
        const lost = [...this.runs, ...this.waiting].map(({ name }) => name);
        this.runs = [];
        this.waiting = [];
        return lost;
    }

    /** Ends a run whose caller has gone. */
    drop(name: string): void {
        this.runs = this.runs.filter(run => run.name !== name);
        this.waiting = this.waiting.filter(run => run.name !== name);
    }

    private held(): number {
        return this.runs.reduce((sum, run) => sum + run.tokens, 0);
    }

    private makeRoom(): void {
        let held = this.held();
        while (held > this.figures.cacheTokens && this.runs.length > 1) {
            const last = this.runs.pop()!;
            held -= last.tokens;
            this.waiting.push(last);
        }
        const next = this.waiting[0];
        if (next !== undefined && held + next.tokens < this.figures.cacheTokens) {
            this.waiting.shift();
            this.readAgain += next.tokens;
            next.left += this.readingSteps(next.tokens);
            this.runs.push(next);
        }
    }

    /** Steps that the reading of a prompt takes here. */
    private readingSteps(tokens: number): number {
        return tokens / (this.figures.promptTokensPerMillisecond * selfReadSpeed) / this.figures.step;
    }
}
