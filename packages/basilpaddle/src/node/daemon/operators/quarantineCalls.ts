import type { IncomingMessage, ServerResponse } from "node:http";
import type { QuarantinedRequests } from "../../coordination/index.js";
import type { BodyRoom } from "../listeners/index.js";
import { readBody } from "./body.js";
import { releaseSchema } from "./quarantineWire.js";

const quarantinedRequestsPath = "/operator/v1/held";
const releasePath = "/operator/v1/release";

/** HTTP status and JSON body of an answer to an operator. */
export type QuarantineReply = { readonly status: number; readonly body: unknown; };

/**
 * Answers operators' calls that list the quarantined requests or release one. Any daemon can answer them, since the
 * daemons exchange these records. Resolves with undefined for any other call.
 */
export async function answerQuarantineCall(
    quarantine: QuarantinedRequests,
    request: IncomingMessage,
    response: ServerResponse,
    room: BodyRoom,
): Promise<QuarantineReply | undefined> {
    const path = (request.url ?? "").split("?", 1)[0];
    if (request.method === "GET" && path === quarantinedRequestsPath) {
        return { status: 200, body: { kind: "held", requests: quarantine.quarantined() } };
    }
    if (request.method !== "POST" || path !== releasePath) {
        return undefined;
    }
    const body = await readBody(request, response, room);
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
        body: { kind: "released", digest, wasSuspected: quarantine.release(digest, operator) },
    };
}
