import type { IncomingMessage } from "node:http";
import { Transform, type TransformCallback } from "node:stream";

/** Error code for a body that exceeds its size limit. */
export const bodyLimitErrorCode = "ERR_BODY_LIMIT";

/**
 * A request's body as a separate stream with a size limit. Undici destroys the body of a call that fails; if that were
 * the request itself, the caller's connection would be closed and the caller would get no answer.
 */
export class LimitedBody extends Transform {
    private length = 0;

    private constructor(private readonly limit: number) {
        super();
    }

    /** The request's body, undefined if it has none; `limit` is in bytes. */
    static forRequest(request: IncomingMessage, limit: number): LimitedBody | undefined {
        const hasBody = request.headers["transfer-encoding"] !== undefined
            || Number(request.headers["content-length"] ?? 0) > 0;
        return hasBody ? request.pipe(new LimitedBody(limit)) : undefined;
    }

    override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
        this.length += chunk.length;
        if (this.length > this.limit) {
            done(Object.assign(new Error(`the body exceeds ${this.limit} bytes`), { code: bodyLimitErrorCode }));
            return;
        }
        done(undefined, chunk);
    }
}
