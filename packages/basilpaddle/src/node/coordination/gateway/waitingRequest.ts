import type { PlacementRequest } from "../../protocol/index.js";

/** A request in a placement queue. */
export type WaitingRequest = {
    readonly request: PlacementRequest;
    readonly arrivedAt: number;
    readonly targetAt: number;
    readonly timeoutAt: number;
    /** Whether it can't meet its target any more. */
    late: boolean;
    /** Milliseconds to its first event as forecast at its arrival; undefined if it was placed at once. */
    forecast?: number;
    /** Position among the requests that it is sorted with; set by the order of the queue. */
    sortKey: number;
};

/** A request that arrives now, as its order's `add` expects it. */
export function arrivingRequest(request: PlacementRequest, now: number): WaitingRequest {
    return {
        request,
        arrivedAt: now,
        targetAt: now + request.targetWithin,
        timeoutAt: now + request.patienceWithin,
        late: false,
        sortKey: 0,
    };
}

/** The request with the time that it has left now for its whole answer. */
export function requestAt({ request, arrivedAt }: WaitingRequest, now: number): PlacementRequest {
    const { finishWithin } = request;
    return finishWithin === undefined ? request : { ...request, finishWithin: finishWithin - (now - arrivedAt) };
}

/** Inserts a request behind those with the same or a smaller key. */
export function insertByKey(requests: WaitingRequest[], waiting: WaitingRequest): void {
    const at = requests.findIndex(other => other.sortKey > waiting.sortKey);
    requests.splice(at < 0 ? requests.length : at, 0, waiting);
}

/** Removes a request from a list, if it contains it. */
export function removeRequest(requests: WaitingRequest[], waiting: WaitingRequest): void {
    const at = requests.indexOf(waiting);
    if (at >= 0) {
        requests.splice(at, 1);
    }
}
