import type { StoredAnswer } from "../../protocol/index.js";

/** Why an answer ended. */
export type EndReason = "stop" | "length";

/** Summary of an answer, known after its last token. */
export type AnswerEnd = { readonly reason: EndReason; readonly tokens: number; readonly promptTokens: number; };

/** Writes the answer to the caller. Used only by the request's driver. */
export abstract class Answer {
    /**
     * Writes the next token. If it returns a promise, the driver stops reading from the engine until the promise settles.
     */
    abstract appendToken(text: string): Promise<void> | undefined;

    /** The whole answer in its stored form, which is replayed to a retry of the request. */
    abstract toStoredAnswer(end: AnswerEnd): StoredAnswer;

    /** Writes the end of the answer. */
    abstract finish(end: AnswerEnd): void;
}
