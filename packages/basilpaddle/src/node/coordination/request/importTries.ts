import type { Randomness } from "../../utils/index.js";

/** Milliseconds after its prefill for which a result is counted on; engines may evict it within a second. */
const keptFor = 500;
/** Mean milliseconds before each further try; together less than `keptFor`. */
const pauses = [25, 50, 100, 200] as const;
/** Mean milliseconds before each try after these, where only the engine's word ends them. */
const steadyPause = 100;

/** The further tries to import a finished prefill into a decode engine that was only full. */
export class ImportTries {
    private made = 0;

    private constructor(
        private readonly until: number,
        private readonly randomness: Randomness,
        private readonly endless: boolean,
    ) {}

    /** All times are monotonic milliseconds; `latest` is when the answer has no more use for the import. */
    static create(prefilledAt: number, latest: number, randomness: Randomness): ImportTries {
        return new ImportTries(Math.min(prefilledAt + keptFor, latest), randomness, false);
    }

    /** For a prefill that can't be made again: tries go on until its engine says that the result is evicted. */
    static untilEvicted(latest: number, randomness: Randomness): ImportTries {
        return new ImportTries(latest, randomness, true);
    }

    /** Milliseconds to wait before the next try, or nothing where none is left in time. */
    next(now: number): number | undefined {
        const mean = pauses[this.made] ?? (this.endless ? steadyPause : undefined);
        if (mean === undefined) {
            return undefined;
        }
        this.made++;
        // Requests that met the same full engine would otherwise all come back to it in the same instant.
        const wait = mean * (0.5 + this.randomness.fraction());
        return now + wait < this.until ? wait : undefined;
    }
}
