import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { RequestAttempt } from "../../../coordination/quarantine/index.js";
import type { RequestScope } from "../../../coordination/request/index.js";
import {
    type Announcement,
    callerHeaders,
    type Outcome,
    type Refusal,
    type RefusalCode,
    wireOutcomes,
} from "../../../protocol/index.js";
import type { DisposableStore } from "../../../utils/index.js";
import { bodyLimitErrorCode } from "./limitedBody.js";
import { provesNothingSent } from "./serviceConnections.js";
import { endToEnd, forwardedHeaders } from "./serviceHeaders.js";
import type { ServiceRoute } from "./serviceRoute.js";

const retryAfterMilliseconds = 1_000;

/** One call of a caller to a plain service. */
export type ServiceCall = {
    readonly route: ServiceRoute;
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly scope: RequestScope;
    /** Disposed when the call has ended. */
    readonly store: DisposableStore;
    /** Digest of the call's content, and its attempt; undefined if the body is streamed, so that its digest isn't known in advance. */
    readonly attemptIdentity?: RequestAttempt;
};

/** Result of sending a call to an instance of its service. */
export type SendResult =
    | { readonly kind: "answer"; readonly answer: Dispatcher.ResponseData; readonly instance: Announcement; }
    | { readonly kind: "failed"; readonly refusal: Refusal; };

/** Sends a call to an instance. Undici doesn't retry by itself with either kind of dispatcher. */
export async function sendTo(
    call: ServiceCall,
    instance: Announcement,
    dispatcher: Dispatcher,
    body: Dispatcher.DispatchOptions["body"],
    signal: AbortSignal,
): Promise<SendResult> {
    try {
        const answer = await dispatcher.request({
            origin: instance.url,
            path: call.request.url ?? "/",
            method: call.request.method as Dispatcher.HttpMethod,
            headers: forwardedHeaders(call.request, call.requestId),
            body,
            signal,
        });
        return { kind: "answer", answer, instance };
    }
    catch (failure) {
        const outcome = provesNothingSent(failure) ? "notRun" : "unknown";
        if ((failure as NodeJS.ErrnoException).code === bodyLimitErrorCode) {
            return failedResult("bodyTooLarge", outcome, (failure as Error).message);
        }
        const code = call.scope.stopped ?? (outcome === "notRun" ? "noBackend" : "backendFailed");
        return failedResult(code, outcome, `${instance.id}: ${(failure as Error).message}`);
    }
}

/** The result of a call without an answer. */
export function failedResult(
    code: RefusalCode,
    outcome: Outcome,
    message: string,
): SendResult & { readonly kind: "failed"; } {
    const retryAfter = outcome === "notRun" ? retryAfterMilliseconds : undefined;
    return { kind: "failed", refusal: { code, outcome, message, retryAfter } };
}

/** Starts the caller's answer with the status and headers of the service's answer. */
export function writeHead(call: ServiceCall, answer: Dispatcher.ResponseData, outcome: Outcome | undefined): void {
    const headers = endToEnd(answer.headers);
    // A service that answers with a server error and no proof may still have executed the call.
    const reportedOutcome = outcome ?? (answer.statusCode >= 500 ? "unknown" : undefined);
    if (reportedOutcome !== undefined) {
        headers[callerHeaders.outcome] = wireOutcomes[reportedOutcome];
    }
    headers[callerHeaders.requestId] = call.requestId;
    call.response.writeHead(answer.statusCode, headers);
}
