import type { Clock } from "../../utils/index.js";
import { TimeLimit } from "./timeLimit.js";

/** Interval of asking again for what replaces an attempt. */
const askIntervalMilliseconds = 250;

/** When an attempt is given up, and for what. */
export type AttemptPatience = {
    /** Judges the server: stands still while this process can't hear it. */
    readonly activeClock: Clock;
    /** Milliseconds of that clock after which a replacement is asked for. */
    readonly milliseconds: number;
    /** Secures what replaces the attempt; resolves to false if there is nothing for now. */
    readonly secureReplacement: () => Promise<boolean>;
};

/** The limit of one attempt at a server: its request's remaining time, or less once something replaces it. */
export class ReplaceableAttempt {
    private pending: Promise<void> = Promise.resolve();
    private cancelAsking: () => void = () => undefined;
    private isOver = false;

    private constructor(private readonly limit: TimeLimit, patience: AttemptPatience | undefined) {
        if (patience !== undefined) {
            this.askIn(patience, patience.milliseconds);
        }
    }

    /** `limit`: that of the request. `patience`: undefined if nothing may replace the attempt. */
    static create(limit: TimeLimit, patience: AttemptPatience | undefined): ReplaceableAttempt {
        return new ReplaceableAttempt(limit, patience);
    }

    get signal(): AbortSignal {
        return this.limit.signal;
    }

    /** Ends the limit; resolves once no replacement is being secured any more. Rejects if that failed by a fault of this process. */
    async end(): Promise<void> {
        this.isOver = true;
        this.cancelAsking();
        this.limit.clear();
        await this.pending;
    }

    private askIn(patience: AttemptPatience, milliseconds: number): void {
        this.cancelAsking = patience.activeClock.after(milliseconds, () => {
            this.pending = this.ask(patience);
            // Handled by `end`.
            this.pending.catch(() => undefined);
        });
    }

    private async ask(patience: AttemptPatience): Promise<void> {
        const isSecured = await patience.secureReplacement();
        if (this.isOver || this.signal.aborted) {
            return;
        }
        if (isSecured) {
            this.limit.expire();
        }
        else {
            this.askIn(patience, askIntervalMilliseconds);
        }
    }
}
