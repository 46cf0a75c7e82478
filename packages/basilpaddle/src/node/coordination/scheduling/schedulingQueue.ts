import type { SchedulingRequest } from "../../protocol/index.js";
import { Counter } from "./counter.js";

/** A scheduling request that waits for its engines. */
export type QueuedRequest = {
    readonly schedulingRequest: SchedulingRequest;
    readonly arrivedAt: number;
    /** Target time of the first token, in monotonic milliseconds. */
    readonly firstTokenTargetAt: number;
    /** Deadline of the whole answer, in monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Requests are served in ascending order of this key. */
    readonly sortKey: number;
    /** Expected prefill time in milliseconds. */
    readonly prefillTime: number;
    /** Expected transfer time in milliseconds. */
    readonly transferTime: number;
    /** Virtual start time in the fair queueing of organisations. */
    readonly virtualStart: number;
    /** Whether the request can't meet its target for the first token any more; it is served after all that still can. */
    readonly late: boolean;
};

/** Scheduling requests in the order in which they are served. */
export class SchedulingQueue {
    private readonly ordered: QueuedRequest[] = [];
    private readonly byAttempt = new Map<string, QueuedRequest>();
    private readonly openRequestsByOrganisation = Counter.create();
    /** Expected prefill time in milliseconds of all queued requests. */
    totalPrefillTime = 0;

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
    positionOf(sortKey: number): number {
        let low = 0;
        let high = this.ordered.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.ordered[middle]!.sortKey <= sortKey) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    add(queuedRequest: QueuedRequest): void {
        this.ordered.splice(this.positionOf(queuedRequest.sortKey), 0, queuedRequest);
        this.byAttempt.set(queuedRequest.schedulingRequest.attempt, queuedRequest);
        this.totalPrefillTime += queuedRequest.prefillTime;
        this.openRequestsByOrganisation.add(queuedRequest.schedulingRequest.organisation);
    }

    /** Number of queued requests of an organisation. */
    openRequestsOf(organisation: string): number {
        return this.openRequestsByOrganisation.of(organisation);
    }

    /** Removes and returns the attempt's request, if it is queued. */
    remove(attempt: string): QueuedRequest | undefined {
        const queuedRequest = this.byAttempt.get(attempt);
        if (queuedRequest === undefined) {
            return undefined;
        }
        this.byAttempt.delete(attempt);
        this.openRequestsByOrganisation.remove(queuedRequest.schedulingRequest.organisation);
        let position = this.positionOf(queuedRequest.sortKey) - 1;
        while (this.ordered[position] !== queuedRequest) {
            position--;
        }
        this.ordered.splice(position, 1);
        this.totalPrefillTime = this.ordered.length === 0 ? 0 : this.totalPrefillTime - queuedRequest.prefillTime;
        return queuedRequest;
    }

    /** A copy of the queue in order. */
    all(): readonly QueuedRequest[] {
        return [...this.ordered];
    }
}
