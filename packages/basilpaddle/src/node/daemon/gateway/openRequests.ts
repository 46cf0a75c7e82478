import type * as http from "node:http";
import type { Logger, Metrics } from "../../utils/index.js";
import type { CallerRequest, RequestPhase } from "./callerRequest.js";
import { writeOwnAnswer } from "./ownAnswer.js";

/** Answer to a request whose body wasn't whole when its gateway ended. */
const unreadCause = "the gateway shut down before the request was whole";
const unreadRetryAfterSeconds = "0.01";

/** A request that was open when its gateway ended. */
export type CutRequest = {
    /** Identifier of the attempt. */
    readonly request: string;
    readonly route?: string | undefined;
    readonly phase: RequestPhase;
    /** Milliseconds since its head was read. */
    readonly age: number;
};

type OpenRequest = {
    readonly attempt: string;
    readonly readAt: number;
    /** Undefined while its body is being read. */
    request: CallerRequest | undefined;
};

/** The requests whose head has been read, and whose connection hasn't taken the whole answer yet. */
export class OpenRequests {
    private readonly requests = new Map<http.ServerResponse, OpenRequest>();

    static create(): OpenRequests {
        return new OpenRequests();
    }

    /** Adds a request whose head was read; it is removed once its answer has been written or its connection has closed. */
    add(response: http.ServerResponse, attempt: string, readAt: number): void {
        this.requests.set(response, { attempt, readAt, request: undefined });
        response.once("close", () => this.requests.delete(response));
    }

    /** Records that a request is whole. */
    recordWhole(response: http.ServerResponse, request: CallerRequest): void {
        const open = this.requests.get(response);
        if (open !== undefined) {
            open.request = request;
        }
    }

    /** Calls back with each open request that is whole. */
    forEachWhole(callback: (request: CallerRequest) => void): void {
        this.requests.forEach(({ request }) => {
            if (request !== undefined) {
                callback(request);
            }
        });
    }

    /** Refuses the requests that aren't whole yet. */
    refuseUnread(): void {
        this.requests.forEach(({ request }, response) => {
            if (request === undefined && !response.headersSent) {
                writeOwnAnswer(response, 503, unreadCause, { "Retry-After": unreadRetryAfterSeconds });
            }
        });
    }

    /** The open requests, as of `now` in milliseconds of the monotonic clock. */
    list(now: number): readonly CutRequest[] {
        return [...this.requests.values()].map(({ attempt, readAt, request }) => ({
            request: attempt,
            route: request?.route.name,
            phase: request?.phase() ?? "reading",
            age: Math.round(now - readAt),
        }));
    }
}

/** Logs and counts the requests that a shutdown ends before they have a whole answer. `duration`: milliseconds since its start. */
export function logCuts(
    { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics; },
    cuts: readonly CutRequest[],
    duration: number,
): void {
    const after = Math.round(duration);
    logger.info("closing", { cut: cuts.length, after });
    cuts.forEach(cut => {
        metrics.count("basilpaddle_requests_cut_by_shutdown_total", { phase: cut.phase });
        // Milliseconds from the start of the shutdown until the request was read; less than 0 if it was read before.
        logger.warn("the shutdown ends a request", { ...cut, readAfter: after - cut.age });
    });
}
