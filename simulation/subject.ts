import * as fc from "fast-check";

/** Counts of the runs so far. */
export class Tally {
    runs = 0;
    steps = 0;
    private readonly counts = new Map<string, number>();

    /** Counts a successful run and its steps. */
    addRun(steps: number): void {
        this.runs += 1;
        this.steps += steps;
    }

    /** Increments a counter that is specific to the subject. */
    addCount(name: string, count: number): void {
        this.counts.set(name, this.countOf(name) + count);
    }

    /** Value of a counter that is specific to the subject; 0 if it was never incremented. */
    countOf(name: string): number {
        return this.counts.get(name) ?? 0;
    }

    /** Adds the counts of a successful batch. */
    merge(batch: Tally): void {
        this.runs += batch.runs;
        this.steps += batch.steps;
        batch.counts.forEach((count, name) => this.addCount(name, count));
    }

    /** Formats all counts on one line. */
    describe(): string {
        const otherCounts = [...this.counts].map(([name, count]) => `, ${name} ${Math.round(count)}`);
        return `${this.runs} runs, ${this.steps} steps${otherCounts.join("")}`;
    }
}

/** A part of the project that is tested by random runs. */
export abstract class Subject {
    abstract readonly name: string;

    /** Executes a batch of runs that are derived from the seed. @throws Error if a run violates an invariant */
    abstract runBatch(seed: number, tally: Tally, shrink: boolean): Promise<void>;
}

/** Runs of a fast-check property. */
export type PropertyRuns = {
    readonly check: (parameters: fc.Parameters<unknown>) => Promise<void>;
    /** Number of runs in a batch. */
    readonly count: number;
};

/** A subject that is tested by fast-check properties. Its unit tests check the same properties with fixed seeds. */
export class PropertySubject extends Subject {
    private constructor(
        override readonly name: string,
        private readonly propertyRunsOf: (tally: Tally) => readonly PropertyRuns[],
    ) {
        super();
    }

    static create(name: string, propertyRunsOf: (tally: Tally) => readonly PropertyRuns[]): PropertySubject {
        return new PropertySubject(name, propertyRunsOf);
    }

    override async runBatch(seed: number, tally: Tally, shrink: boolean): Promise<void> {
        for (const { check, count } of this.propertyRunsOf(tally)) {
            await check({ seed, numRuns: count, endOnFailure: !shrink });
        }
    }
}

/** A batch of `count` runs of a property. */
export function propertyRuns<Input>(property: fc.IRawProperty<Input>, count: number): PropertyRuns {
    return {
        count,
        check: async parameters => {
            const result = await fc.check(
                property as fc.IAsyncProperty<Input>,
                parameters as fc.Parameters<unknown> as fc.Parameters<Input>,
            );
            if (result.failed) {
                throw new Error(await fc.asyncDefaultReportMessage(result), { cause: result.errorInstance });
            }
        },
    };
}
