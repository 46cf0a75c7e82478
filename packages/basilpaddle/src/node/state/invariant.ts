/** Thrown when an invariant of the state is violated. It always means a bug in the program, never invalid input. */
export class Invariant extends Error {
    private constructor(message: string) {
        super(`Invariant violated: ${message}`);
        this.name = "Invariant";
    }

    /** Throws unless the condition holds. The process must not continue with an inconsistent state. */
    static assert(condition: boolean, message: string): asserts condition {
        if (!condition) {
            throw new Invariant(message);
        }
    }
}
