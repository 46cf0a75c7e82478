import { createHash } from "node:crypto";

/** Long enough that a request with the digest of another one can't be constructed. */
const digestBytes = 16;

/** What identifies a request, independent of the attempt and the daemon that receives it. */
export type RequestContent = {
    /** On whose behalf it is sent: the organisation, or the host that identifies it. */
    readonly caller: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly body: Uint8Array | undefined;
};

/**
 * Digest of a request's content, in base64url. The attempt's identifier, its deadline and the event that it resumes after
 * are left out: they differ between attempts of the same request.
 */
export function digestOf({ caller, method, target, body }: RequestContent): string {
    const hash = createHash("sha256").update(JSON.stringify([caller.toLowerCase(), method, target]));
    if (body !== undefined) {
        hash.update(body);
    }
    return hash.digest().subarray(0, digestBytes).toString("base64url");
}
