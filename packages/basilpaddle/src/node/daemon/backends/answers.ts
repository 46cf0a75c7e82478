import type { BackendAnswer } from "./backendConnections.js";

/** Reads the whole body of an answer; undefined if it was cut short or exceeds the limit in bytes. */
export async function readWholeBody(answer: BackendAnswer, limit: number): Promise<Buffer | undefined> {
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
        // Callers treat an incomplete body like a broken connection.
        return undefined;
    }
    return Buffer.concat(chunks);
}

/** Abandons an answer and closes its connection, whose further data can't be trusted. */
export function discard(answer: BackendAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.destroy();
}

/** Reads and discards a short body so that its connection can be reused. */
export function drain(answer: BackendAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.resume();
}
