import { LRUCache } from "lru-cache";
import type { WaitingRequest } from "./waitingRequest.js";

/** Refused requests to remember: those of a caller's deadline in a large deployment under a burst. */
const maxRefusedRequests = 4_096;
/** How long a refused request is remembered if its caller's deadline isn't known. */
const defaultRetentionMilliseconds = 15_000;

type RefusedRequest = { readonly targetAt: number; readonly deadlineAt: number; };

/**
 * Remembers which requests were refused, by their content, so that a retry keeps the target of the first attempt: past it,
 * the answer is late whenever it comes, and requests that can still meet their target go first.
 */
export class RefusedRequests {
    private readonly byContent = new LRUCache<string, RefusedRequest>({ max: maxRefusedRequests });

    static create(): RefusedRequests {
        return new RefusedRequests();
    }

    /** Records a refusal. */
    record({ request, arrivedAt, targetAt }: WaitingRequest): void {
        if (request.content !== undefined) {
            const deadlineAt = arrivedAt + (request.finishWithin ?? defaultRetentionMilliseconds);
            this.byContent.set(request.content, { targetAt, deadlineAt });
        }
    }

    /** The request, with the first attempt's target if it is a retry. A refusal counts for one retry. */
    withFirstTarget(waiting: WaitingRequest): WaitingRequest {
        const { content = "", resumed } = waiting.request;
        const refused = this.byContent.get(content);
        if (refused === undefined || resumed) {
            return waiting;
        }
        this.byContent.delete(content);
        if (waiting.arrivedAt > refused.deadlineAt) {
            return waiting;
        }
        const targetAt = Math.min(waiting.targetAt, refused.targetAt);
        return { ...waiting, targetAt, late: targetAt <= waiting.arrivedAt };
    }
}
