import { insertByKey, removeRequest, type WaitingRequest } from "./waitingRequest.js";

/** How much later a request sorts for each step of its priority number. */
const priorityStepMilliseconds = 60;
/** Sort key offset that moves requests that can't meet their target behind all that still can. */
const lateKeyOffset = 1e9;

/** The waiting requests of a placement queue, in the order in which they are placed. */
export abstract class QueueOrder {
    /** All requests, first the one to be placed next. The array is updated by `add` and `remove` until the next call. */
    abstract requests(): readonly WaitingRequest[];

    /** Adds a request, by whether it can still meet its target. */
    abstract add(waiting: WaitingRequest): void;

    /** Removes a request, if it waits. */
    abstract remove(waiting: WaitingRequest): void;

    /** Records that a request, which has been removed, was placed. */
    abstract recordPlaced(waiting: WaitingRequest): void;

    /** Whether requests wait that can still meet their target, and that a late request would delay if it were placed first. */
    abstract hasOnTimeRivals(waiting: WaitingRequest): boolean;

    /** Whether requests of a priority stay ahead of another one after they were moved back because they miss their target. */
    abstract staysAheadWhenLate(priority: number, other: WaitingRequest): boolean;

    /** Moves a request that can't meet its target any more behind those that still can. */
    moveBack(waiting: WaitingRequest): void {
        this.remove(waiting);
        waiting.late = true;
        this.add(waiting);
    }

    /** Removes the requests for which the condition holds. */
    removeWhere(condition: (waiting: WaitingRequest) => boolean): void {
        [...this.requests()].filter(condition).forEach(waiting => this.remove(waiting));
    }
}

/**
 * By target: one step of priority counts as a slightly later target, and a request that misses its target waits behind all
 * that can still meet theirs.
 */
export class TargetOrder extends QueueOrder {
    private readonly queue: WaitingRequest[] = [];

    static create(): TargetOrder {
        return new TargetOrder();
    }

    override requests(): readonly WaitingRequest[] {
        return this.queue;
    }

    override add(waiting: WaitingRequest): void {
        const { request, targetAt, late } = waiting;
        waiting.sortKey = targetAt + request.priority * priorityStepMilliseconds - (request.resumed ? lateKeyOffset : 0)
            + (late ? lateKeyOffset : 0);
        insertByKey(this.queue, waiting);
    }

    override remove(waiting: WaitingRequest): void {
        removeRequest(this.queue, waiting);
    }

    override recordPlaced(): void {}

    override hasOnTimeRivals(): boolean {
        return this.queue.some(({ late }) => !late);
    }

    override staysAheadWhenLate(): boolean {
        return false;
    }
}
