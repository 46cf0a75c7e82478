import type { Either } from "purify-ts";
import type { Command, CommandResult, Incarnation, View } from "../protocol/index.js";

/** An unknown outcome: the command may have been committed, may still be committed later, or never. */
export type Undecided = { readonly kind: "undecided"; readonly reason: string; };

/** An entry daemon's client of the control daemons: provides the replicated view, and proposes commands. */
export abstract class ControlClient {
    /** The incarnation of this daemon. */
    abstract session(): Incarnation;

    /** The latest view that this daemon has applied. */
    abstract view(): View;

    /**
     * Whether new work may start now. Reads the monotonic clock on each call, so that it is also correct after a process
     * freeze.
     */
    abstract mayStart(): boolean;

    /** Calls the listener after the view advanced; the returned function removes it. */
    abstract onView(listener: (view: View) => void): () => void;

    /** Proposes a command to the leader, following leader changes, for at most `timeout` milliseconds. */
    abstract propose(command: Command, timeout: number): Promise<Either<Undecided, CommandResult>>;

    /**
     * Records that a backend server renewed its announcement with this daemon. Sent with the next confirmation of the
     * view.
     */
    abstract recordRenewal(id: string, incarnation: number): void;

    /** Closes the session at the control daemons, which releases its leases, and stops. */
    abstract close(): Promise<void>;
}
