import type { IncomingMessage } from "node:http";
import type { HeldRequests } from "../../coordination/index.js";
import { readBody } from "./body.js";
import { releaseSchema } from "./heldWire.js";

const heldPath = "/operator/v1/held";
const releasePath = "/operator/v1/release";

/** An answer to an operator. */
export type HeldReply = { readonly status: number; readonly body: unknown; };

/**
 * Answers operators' calls about requests that are held back: which they are, and that one may run again. Any daemon's
 * answer holds for all, since they tell each other. Undefined where the call is another one.
 */
export async function answerHeld(
    quarantinedRequests: HeldRequests,
    request: IncomingMessage,
): Promise<HeldReply | undefined> {
    const path = (request.url ?? "").split("?", 1)[0];
    if (request.method === "GET" && path === heldPath) {
        return { status: 200, body: { kind: "held", requests: quarantinedRequests.held() } };
    }
    if (request.method !== "POST" || path !== releasePath) {
        return undefined;
    }
    const body = await readBody(request);
    if (body.kind !== "read") {
        return { status: body.status, body: { kind: "failure", code: "badRequest", message: body.message } };
    }
    const release = releaseSchema.safeParse(body.value);
    if (!release.success) {
        const message = release.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
        return { status: 400, body: { kind: "failure", code: "badRequest", message } };
    }
    const { digest, operator } = release.data;
    return {
        status: 200,
        body: { kind: "released", digest, wasSuspected: quarantinedRequests.release(digest, operator) },
    };
}
