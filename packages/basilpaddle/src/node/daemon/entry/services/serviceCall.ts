import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { Arrived } from "../../../coordination/quarantine/index.js";
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
import { bodyLimitCode } from "./limitedBody.js";
import { provesNothingSent } from "./serviceConnections.js";
import { endToEnd, forwardedHeaders } from "./serviceHeaders.js";
import type { ServiceRoute } from "./serviceRoute.js";

const retryAfterFault = 1_000;

/** One call of a caller to a plain service. */
export type ServiceCall = {
    readonly route: ServiceRoute;
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly scope: RequestScope;
    /** What is released when the call has ended. */
    readonly store: DisposableStore;
    /** What it holds; undefined where that isn't known before it is sent. */
    readonly arrived?: Arrived;
};

/** What became of sending a call to a copy of its service. */
export type Sent =
    | { readonly kind: "answer"; readonly answer: Dispatcher.ResponseData; readonly copy: Announcement; }
    | { readonly kind: "failed"; readonly refusal: Refusal; };

/** Sends a call to a copy. Undici makes no second try of its own on either kind of dispatcher. */
export async function sendTo(
    call: ServiceCall,
    copy: Announcement,
    dispatcher: Dispatcher,
    body: Dispatcher.DispatchOptions["body"],
    signal: AbortSignal,
): Promise<Sent> {
    try {
        const answer = await dispatcher.request({
            origin: copy.url,
            path: call.request.url ?? "/",
            method: call.request.method as Dispatcher.HttpMethod,
            headers: forwardedHeaders(call.request, call.requestId),
            body,
            signal,
        });
        return { kind: "answer", answer, copy };
    }
    catch (failure) {
        const outcome = provesNothingSent(failure) ? "notRun" : "unknown";
        if ((failure as NodeJS.ErrnoException).code === bodyLimitCode) {
            return failed("bodyTooLarge", outcome, (failure as Error).message);
        }
        const code = call.scope.stopped ?? (outcome === "notRun" ? "noBackend" : "backendFailed");
        return failed(code, outcome, `${copy.id}: ${(failure as Error).message}`);
    }
}

/** A call without an answer. */
export function failed(code: RefusalCode, outcome: Outcome, message: string): Sent & { readonly kind: "failed"; } {
    const retryAfter = outcome === "notRun" ? retryAfterFault : undefined;
    return { kind: "failed", refusal: { code, outcome, message, retryAfter } };
}

/** Begins the caller's answer with the service's own head. */
export function writeHead(call: ServiceCall, answer: Dispatcher.ResponseData, outcome: Outcome | undefined): void {
    const headers = endToEnd(answer.headers);
    // A service that fails or refuses without a proof may have carried the call out all the same.
    const told = outcome ?? (answer.statusCode >= 500 ? "unknown" : undefined);
    if (told !== undefined) {
        headers[callerHeaders.outcome] = wireOutcomes[told];
    }
    headers[callerHeaders.requestId] = call.requestId;
    call.response.writeHead(answer.statusCode, headers);
}
