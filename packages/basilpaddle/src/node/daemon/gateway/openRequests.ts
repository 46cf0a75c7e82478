import type * as http from "node:http";
import type { CallerRequest, RequestEnd, RequestPhase } from "./callerRequest.js";
import { writeOwnAnswer } from "./ownAnswer.js";

/** Answer to a request whose body wasn't whole when its gateway ended. */
const unreadCause = "the gateway shut down before the request was whole";
const unreadRetryAfterSeconds = "0.01";

/** A request that was open when the grace period of its gateway was over, and how it ended. */
export type LastRequest = {
    /** Identifier of the attempt. */
    readonly request: string;
    readonly route?: string | undefined;
    /** How far it was when the grace period was over. */
    readonly phase: RequestPhase;
    /** Milliseconds since its head was read. */
    readonly age: number;
    readonly end: RequestEnd;
    /** Whether its caller's connection took the whole answer. */
    readonly answered: boolean;
};

type OpenRequest = {
    readonly response: http.ServerResponse;
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
        this.requests.set(response, { response, attempt, readAt, request: undefined });
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

    /** Remembers the open requests, as of `now` in milliseconds of the monotonic clock; returns what tells how they ended. */
    remember(now: number): () => readonly LastRequest[] {
        const remembered = [...this.requests.values()].map(({ response, attempt, readAt, request }) => ({
            response,
            request,
            state: {
                request: attempt,
                route: request?.route.name,
                phase: request?.phase() ?? "reading",
                age: Math.round(now - readAt),
            } as const,
        }));
        return () =>
            remembered.map(({ response, request, state }) => ({
                ...state,
                end: request?.outcome()?.end ?? "refused",
                answered: response.writableFinished,
            }));
    }
}
