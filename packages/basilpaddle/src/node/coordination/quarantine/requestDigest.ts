import { createHash } from "node:crypto";

/** Bytes of a digest: enough that nobody can make a request that passes for another one. */
const digestBytes = 16;

/** What makes two requests the same one, whichever attempt brings them and whichever daemon they come to. */
export type RequestContent = {
    /** Whom it is asked for: the organisation, or the host that stands for it. */
    readonly caller: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly body: Uint8Array | undefined;
};

/**
 * Names a request by what it holds. An attempt's identifier, its deadline and the event that it resumes after are left
 * out: they differ each time the same request comes again.
 */
export function digestOf({ caller, method, target, body }: RequestContent): string {
    const hash = createHash("sha256").update(JSON.stringify([caller.toLowerCase(), method, target]));
    if (body !== undefined) {
        hash.update(body);
    }
    return hash.digest().subarray(0, digestBytes).toString("base64url");
}
