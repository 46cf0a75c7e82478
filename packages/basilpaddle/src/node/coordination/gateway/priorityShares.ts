/** Share of all placements that the priorities below the highest waiting one may be promised together. */
const maxPromisedShare = 0.5;
/**
 * Part of a placement from which on a priority is owed the whole one. Several priorities may be owed one at the same time,
 * and each window must contain the share of the last of them as well.
 */
const owedCredit = 0.75;
/** Tolerance for sums of fractions. */
const roundingTolerance = 1e-9;
/** Placements that a priority whose requests don't fit anywhere may have outstanding. */
const maxCredit = 2;

/**
 * Share of the placements that each waiting priority gets at least: with a share of 0.1 it gets one of each ten while it
 * waits. Each placement adds the share to the credit of a waiting priority, and its own placements reduce it by one.
 */
export class PriorityShares {
    private constructor(private readonly floor: number, private readonly credits: Map<number, number>) {}

    /** `floor`: the share of placements of each waiting priority, 0 to 0.5; 0 promises nothing. */
    static create(floor: number): PriorityShares {
        return new PriorityShares(floor, new Map());
    }

    /** A copy, for a forecast of the order. */
    copy(): PriorityShares {
        return new PriorityShares(this.floor, new Map(this.credits));
    }

    /** The priority whose request is placed next, of those that wait; `waiting` is in ascending order and not empty. */
    next(waiting: readonly number[]): number {
        let next = waiting[0]!;
        let highestCredit = owedCredit - roundingTolerance;
        for (const priority of waiting) {
            const credit = this.credits.get(priority) ?? 0;
            if (credit >= highestCredit) {
                next = priority;
                highestCredit = credit + roundingTolerance;
            }
        }
        return next;
    }

    /** Records a placement of one of the priorities that wait; the others are dropped. */
    recordPlaced(placed: number, waiting: readonly number[]): void {
        const share = Math.min(this.floor, maxPromisedShare / Math.max(1, waiting.length - 1));
        for (const priority of this.credits.keys()) {
            if (!waiting.includes(priority)) {
                this.credits.delete(priority);
            }
        }
        for (const priority of waiting) {
            const credit = (this.credits.get(priority) ?? 0) + share - (priority === placed ? 1 : 0);
            // The highest waiting priority is served first in any case.
            this.credits.set(
                priority,
                priority === waiting[0] ? 0 : Math.min(maxCredit, Math.max(owedCredit - 1, credit)),
            );
        }
    }
}
