/** Slices of all connections that are parsed in one turn of the event loop, and of one connection. */
const slicesInTurn = 32;
const slicesOfOneInTurn = 4;
/** Connections that are called in one turn, of those that wait for it. */
const calledInTurn = 16;

/** One connection that is parsed in turns. */
export class TurnTaker {
    /** Slices parsed in the turn of that number; for `ParseTurns`. */
    slices = { turn: -1, count: 0 };
    /** Slices parsed since it last had nothing to parse, less the turns that it has waited for; for `ParseTurns`. */
    debt = 0;

    private constructor(readonly onTurn: () => void) {}

    /** `onTurn`: called when it may be parsed on. */
    static create(onTurn: () => void): TurnTaker {
        return new TurnTaker(onTurn);
    }
}

/**
 * Shares the turns of the event loop among all connections of a process. What one turn parses is bounded, so that a crowd whose bytes cost
 * much to parse leaves time to others; those that had little parsed come first.
 */
export class ParseTurns {
    private readonly waiting = new Set<TurnTaker>();
    private turn = 0;
    private slicesLeft = slicesInTurn;
    private isScheduled = false;

    static create(): ParseTurns {
        return new ParseTurns();
    }

    /** Whether the next slice of a connection may be parsed in this turn. */
    take(taker: TurnTaker): boolean {
        this.schedule();
        if (taker.slices.turn !== this.turn) {
            taker.slices = { turn: this.turn, count: 0 };
        }
        if (this.slicesLeft === 0 || taker.slices.count === slicesOfOneInTurn) {
            return false;
        }
        this.slicesLeft -= 1;
        taker.slices.count += 1;
        taker.debt += 1;
        return true;
    }

    /** Has a connection called in a later turn. */
    wait(taker: TurnTaker): void {
        this.waiting.add(taker);
        this.schedule();
    }

    /** Forgets a connection. */
    leave(taker: TurnTaker): void {
        this.waiting.delete(taker);
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.begin());
        }
    }

    private begin(): void {
        this.isScheduled = false;
        this.turn += 1;
        this.slicesLeft = slicesInTurn;
        const called = [...this.waiting].sort((one, other) => one.debt - other.debt).slice(0, calledInTurn);
        called.forEach(taker => this.waiting.delete(taker));
        this.waiting.forEach(taker => {
            taker.debt -= 1;
        });
        called.forEach(taker => taker.onTurn());
        if (this.waiting.size > 0) {
            this.schedule();
        }
    }
}
