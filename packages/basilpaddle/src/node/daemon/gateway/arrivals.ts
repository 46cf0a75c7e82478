import type { RepeatAllowance } from "./repeatAllowance.js";

/** What became of sending a request to an engine, as far as the allowance for repeats is concerned. */
export type Arrival =
    /** No connection came about: the engine has seen nothing. */
    | "unreached"
    /** It only had the prompt read, and the engine took it. */
    | "read"
    /** Anything else that an engine has seen, refusals included. */
    | "counted";

/** Takes the outcome of one sending. */
export type ArrivalEnd = (arrival: Arrival) => void;

/** Takes what became of the parts of one turn: the reading of the prompt, where there is one, and at last the run. */
export type TurnArrivals = { readonly read: ArrivalEnd; readonly run: ArrivalEnd; };

/**
 * Counts what arrives at engines for one request, and takes what is beyond the first out of the allowance for repeats.
 * The first reading that an engine takes is free; one that broke off or was refused is an arrival like any other, and
 * the run that follows it is then a repeat already.
 */
export class Arrivals {
    private counted = 0;
    private readFree = true;

    private constructor(
        private readonly allowance: Pick<RepeatAllowance, "take" | "giveBack">,
        private readonly service: string,
    ) {}

    static create(allowance: Pick<RepeatAllowance, "take" | "giveBack">, service: string): Arrivals {
        return new Arrivals(allowance, service);
    }

    /**
     * Asks whether a turn may be sent, its reading and its run together; undefined where too few repeats are left. A
     * prompt that is read for a run that may not be sent any more is read in vain.
     */
    async begin(reads: boolean): Promise<TurnArrivals | undefined> {
        const readCounts = reads && !this.readFree;
        const isRepeat = this.counted > 0;
        const needed = Number(readCounts && isRepeat) + Number(readCounts || isRepeat);
        if (!await this.take(needed)) {
            return undefined;
        }
        let unspent = needed;
        const end = (arrival: Arrival): void => {
            unspent -= this.spend(arrival);
        };
        return {
            read: end,
            run: arrival => {
                end(arrival);
                this.giveBack(unspent);
            },
        };
    }

    private async take(repeats: number): Promise<boolean> {
        for (let taken = 0; taken < repeats; taken++) {
            if (!await this.allowance.take(this.service)) {
                this.giveBack(taken);
                return false;
            }
        }
        return true;
    }

    /** Counts an arrival; gives the repeats that it costs. */
    private spend(arrival: Arrival): number {
        const free = arrival === "unreached" || (arrival === "read" && this.readFree);
        if (arrival === "read") {
            this.readFree = false;
        }
        if (free) {
            return 0;
        }
        this.counted += 1;
        return this.counted > 1 ? 1 : 0;
    }

    private giveBack(repeats: number): void {
        for (let given = 0; given < repeats; given++) {
            this.allowance.giveBack(this.service);
        }
    }
}
