import type { Command, CommandResult } from "../protocol/index.js";

/** Replicated state machine. Applying the same commands in the same order gives the same state at every replica. */
export abstract class StateMachine {
    /** Applies a committed command. Log indexes increase, and each command is applied once. */
    abstract apply(index: number, command: Command): CommandResult;

    /** Serialises the whole state for a snapshot. */
    abstract snapshot(): Uint8Array;

    /** Replaces the whole state with that of a snapshot. */
    abstract restore(snapshot: Uint8Array): void;
}
