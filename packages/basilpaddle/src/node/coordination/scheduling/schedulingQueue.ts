import type { SchedulingRequest } from "../../protocol/index.js";
import { Counter } from "./counter.js";

/** A scheduling request that waits for its engines. */
export type QueuedRequest = {
    readonly demand: SchedulingRequest;
    readonly arrivedAt: number;
    /** Target time of the first token, in monotonic milliseconds. */
    readonly firstTokenBy: number;
    /** Deadline of the whole answer, in monotonic milliseconds. */
    readonly endsBy: number;
    /** Sort key; the lowest is served first. */
    readonly key: number;
    /** Expected prefill time in milliseconds. */
    readonly work: number;
    /** Expected transfer time in milliseconds. */
    readonly transfer: number;
    /** Virtual start time in the fair queueing of organisations. */
    readonly shareStart: number;
    /** Whether it can't meet its target for the first token any more; served only after those that still can. */
    readonly late: boolean;
};

/** Scheduling requests in the order in which they are served. */
export class SchedulingQueue {
    private readonly ordered: QueuedRequest[] = [];
    private readonly byAttempt = new Map<string, QueuedRequest>();
    private readonly openRequestsByOrganisation = Counter.create();
    /** Expected prefill time in milliseconds of all queued requests. */
    work = 0;

    static create(): SchedulingQueue {
        return new SchedulingQueue();
    }

    get size(): number {
        return this.ordered.length;
    }

    /** The request at a position. */
    at(position: number): QueuedRequest | undefined {
        return this.ordered[position];
    }

    /** Whether the attempt is queued. */
    has(attempt: string): boolean {
        return this.byAttempt.has(attempt);
    }

    /** Position after all requests whose key is lower or equal; requests with equal keys stay in order of arrival. */
    positionOf(key: number): number {
        let low = 0;
        let high = this.ordered.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.ordered[middle]!.key <= key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    add(waiting: QueuedRequest): void {
        this.ordered.splice(this.positionOf(waiting.key), 0, waiting);
        this.byAttempt.set(waiting.demand.attempt, waiting);
        this.work += waiting.work;
        this.openRequestsByOrganisation.add(waiting.demand.organisation);
    }

    /** Number of queued requests of an organisation. */
    openRequestsOf(organisation: string): number {
        return this.openRequestsByOrganisation.of(organisation);
    }

    /** Removes and returns the attempt's request, if it is queued. */
    remove(attempt: string): QueuedRequest | undefined {
        const waiting = this.byAttempt.get(attempt);
        if (waiting === undefined) {
            return undefined;
        }
        this.byAttempt.delete(attempt);
        this.openRequestsByOrganisation.remove(waiting.demand.organisation);
        let position = this.positionOf(waiting.key) - 1;
        while (this.ordered[position] !== waiting) {
            position--;
        }
        this.ordered.splice(position, 1);
        this.work = this.ordered.length === 0 ? 0 : this.work - waiting.work;
        return waiting;
    }

    /** A copy of the queue in order. */
    all(): readonly QueuedRequest[] {
        return [...this.ordered];
    }
}
