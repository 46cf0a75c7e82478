import type { CallerRequest } from "./callerRequest.js";

/** Why a request can't be served, and the milliseconds after which its caller may come back. */
export type Refusal = { readonly comeBackIn: number; readonly cause: string; };

/** Refuses a request, or fails it if it has already run. */
export function endUnserved(request: CallerRequest, hasRun: boolean, { comeBackIn, cause }: Refusal): void {
    if (hasRun || request.hasAnswerBegun()) {
        request.fail(502, cause);
    }
    else {
        request.refuse(comeBackIn, cause);
    }
}
