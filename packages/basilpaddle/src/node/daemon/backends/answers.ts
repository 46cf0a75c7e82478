import type { AnswerBound, ServerAnnouncement } from "../../protocol/index.js";
import type { AnswerLimits } from "./answerLimits.js";
import type { BackendAnswer } from "./backendConnections.js";

/** Number of received bytes that are kept for the log. */
const keptBytes = 64;

/** Whose answer is read, and by which bound. */
export type BodyBound = {
    readonly server: Pick<ServerAnnouncement, "id" | "address">;
    readonly limits: AnswerLimits;
    readonly bound: Extract<AnswerBound, "bodyBytes" | "shortBodyBytes" | "unreadBytes">;
};

/** Number of pieces of a body that are kept before they are joined: each one has a cost of its own, also if it is a single byte. */
const maxPieces = 1_024;

/**
 * Reads the whole body of an answer; undefined if it was cut short, exceeds the bound, or gives way to others because all bodies
 * together exceed theirs. Either bound closes its connection.
 */
export async function readWholeBody(answer: BackendAnswer, body: BodyBound): Promise<Buffer | undefined> {
    const { server, limits } = body;
    const holding = limits.held.hold({ server: server.id, address: server.address }, () => discard(answer));
    let pieces: Buffer[] = [];
    let joined: Buffer[] = [];
    const keep = async (chunk: Buffer): Promise<boolean> => {
        const mayKeep = holding.reserve(chunk.length);
        if (mayKeep !== true && !await mayKeep) {
            return false;
        }
        pieces.push(chunk);
        if (pieces.length === maxPieces) {
            joined.push(Buffer.concat(pieces));
            pieces = [];
        }
        return true;
    };
    try {
        const isWhole = await readChunks(answer, body, keep) && !holding.hasEnded();
        return isWhole ? Buffer.concat([...joined, ...pieces]) : undefined;
    }
    finally {
        joined = pieces = [];
        holding.release();
    }
}

/** Passes on the chunks of a body; false if it was cut short, exceeds the bound, or `onChunk` takes no more of it. */
async function readChunks(
    answer: BackendAnswer,
    { server, limits, bound }: BodyBound,
    onChunk: (chunk: Buffer) => Promise<boolean> | boolean,
): Promise<boolean> {
    let size = 0;
    let first: Buffer = Buffer.alloc(0);
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            if (first.length < keptBytes) {
                first = Buffer.concat([first, chunk.subarray(0, keptBytes - first.length)]);
            }
            size += chunk.length;
            if (size > limits.bounds[bound]) {
                limits.exceeded(server, bound, first);
                return false;
            }
            if (!await onChunk(chunk)) {
                return false;
            }
        }
    }
    catch {
        // Callers treat an incomplete body like a broken connection.
        return false;
    }
    return true;
}

/** Abandons an answer and closes its connection, whose further data can't be trusted. */
export function discard(answer: BackendAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.destroy();
}

/** Reads and discards a short body so that its connection can be reused; closes the connection of a long or slow one. */
export function drain(answer: BackendAnswer, body: Omit<BodyBound, "bound">): void {
    const timer = setTimeout(() => discard(answer), body.limits.bounds.headTime);
    timer.unref();
    void readChunks(answer, { ...body, bound: "unreadBytes" }, () => true).then(() => clearTimeout(timer));
}
