import type { PlacementRequest } from "../../protocol/index.js";
import { OrganisationShares } from "../scheduling/organisationShares.js";

/** How much later a request sorts for each step of its priority number. */
const priorityStepMilliseconds = 60;
/**
 * Most that a request sorts later because its organisation's queued requests are ahead of its share: about a target, so that a
 * busy organisation's requests wait behind the others' without starving.
 */
const maxLagMilliseconds = 800;
/** Every organisation's share: requests are measured in the time in which its own allowance refills. */
const equalShare = { share: 1 };
/** Sort key offset that moves requests that can't meet their target behind all that still can. */
const lateKeyOffset = 1e9;

/** A request in the placement queue; times in milliseconds. */
export type WaitingRequest = {
    readonly request: PlacementRequest;
    readonly arrivedAt: number;
    readonly targetAt: number;
    readonly timeoutAt: number;
    /** Virtual start time among the requests of its organisation. */
    readonly virtualStart: number;
    late: boolean;
    sortKey: number;
};

/**
 * The order of a placement queue: by targets and priorities; in a burst, requests of organisations that are ahead of their
 * share come later, and those that can't meet their target come last.
 */
export class PlacementOrder {
    private readonly shares = OrganisationShares.create(maxLagMilliseconds);

    private constructor() {}

    static create(): PlacementOrder {
        return new PlacementOrder();
    }

    /** Creates the entry of an arriving request, and charges its organisation's share. */
    createEntry(request: PlacementRequest, now: number): WaitingRequest {
        const { organisation } = request;
        const targetAt = now + request.targetWithin;
        const lag = organisation === undefined ? 0 : this.shares.lag(organisation.name);
        const resumedOffset = request.resumed ? lateKeyOffset : 0;
        return {
            request,
            arrivedAt: now,
            targetAt,
            timeoutAt: now + request.patienceWithin,
            virtualStart: organisation === undefined
                ? 0
                : this.shares.charge(organisation.name, equalShare, organisation.refillTime),
            late: false,
            sortKey: targetAt + request.priority * priorityStepMilliseconds + lag - resumedOffset,
        };
    }

    /** Inserts an entry into the queue at its place. */
    insert(queue: WaitingRequest[], waiting: WaitingRequest): void {
        const at = queue.findIndex(other => other.sortKey > waiting.sortKey);
        queue.splice(at < 0 ? queue.length : at, 0, waiting);
    }

    /** Inserts an entry that can't meet its target behind all that still can. */
    insertAsLate(queue: WaitingRequest[], waiting: WaitingRequest): void {
        waiting.late = true;
        waiting.sortKey += lateKeyOffset;
        this.insert(queue, waiting);
    }

    /** Records that a request was placed. */
    recordServed(waiting: WaitingRequest): void {
        this.shares.recordServed(waiting.virtualStart);
    }

    /** Forgets what organisations were ahead by; to be called when the queue is empty. */
    reset(): void {
        this.shares.reset();
    }
}
