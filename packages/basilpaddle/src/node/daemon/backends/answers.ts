import type { BackendAnswer } from "./backendConnections.js";

/** Reads the whole body of an answer; undefined where it broke off or grew over the limit. */
export async function wholeBody(answer: BackendAnswer, limit: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > limit) {
                return undefined;
            }
            chunks.push(chunk);
        }
    }
    catch {
        // The caller of this function treats an incomplete body like a connection that broke.
        return undefined;
    }
    return Buffer.concat(chunks);
}

/** Gives an answer up together with its connection: what would come next on it can't be trusted. */
export function discard(answer: BackendAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.destroy();
}

/** Reads a short body away so that its connection can be used again. */
export function drain(answer: BackendAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.resume();
}
