import type { RepeatBudget } from "../../coordination/index.js";

/** What became of sending a request to an engine, as far as the allowance for repeats is concerned. */
export type Arrival =
    /** No connection came about: the engine has seen nothing. */
    | "unreached"
    /** It only had the prompt read, and the engine took it. */
    | "read"
    /** Anything else that an engine has seen, refusals included. */
    | "counted";

/**
 * Counts what arrives at engines for one request, and takes what is beyond the first out of the allowance for repeats.
 * The first reading that an engine takes is free; one that broke off or was refused is an arrival like any other, and
 * the run that follows it is then a repeat already.
 */
export class Arrivals {
    private counted = 0;
    private readFree = true;

    private constructor(
        private readonly budget: RepeatBudget,
        private readonly now: () => number,
        private readonly sharers: () => number,
    ) {}

    /** `sharers`: gateways that share the allowance. */
    static create(budget: RepeatBudget, now: () => number, sharers: () => number): Arrivals {
        return new Arrivals(budget, now, sharers);
    }

    /** Asks whether the request may be sent once more; undefined where no repeat is left. What it gives is told the outcome. */
    begin(): ((arrival: Arrival) => void) | undefined {
        const repeats = this.counted > 0;
        if (repeats && !this.budget.take(this.now(), this.sharers())) {
            return undefined;
        }
        return arrival => this.end(arrival, repeats);
    }

    private end(arrival: Arrival, repeats: boolean): void {
        const free = arrival === "unreached" || (arrival === "read" && this.readFree);
        if (arrival === "read") {
            this.readFree = false;
        }
        if (!free) {
            this.counted += 1;
        }
        else if (repeats) {
            this.budget.giveBack(this.now());
        }
    }
}
