import { z } from "zod";

const bytes = z.int().positive();

/** Bounds of what a backend server sends, in bytes and milliseconds. Beyond one, its connection is destroyed. */
export const answerBoundsSchema = z.strictObject({
    /** Status line and headers of an answer, with interim answers and empty lines before it. */
    headBytes: bytes.default(16_384),
    /** Time in milliseconds in which a head must be complete once its first byte has arrived: a few retransmissions. */
    headTime: z.number().positive().default(3_000),
    /** Framing without a byte of the body: lengths and extensions of chunks, and trailers. */
    framingBytes: bytes.default(16_384),
    /** One event of a stream. */
    eventBytes: bytes.default(1_048_576),
    /** Comments, empty lines and unknown fields between two events: a comment of 8 bytes each second for two hours. */
    commentBytes: bytes.default(65_536),
    /** The body of an answer of a plain service, which is read whole. */
    bodyBytes: bytes.default(16_777_216),
    /** The body of an engine's error and of the answer to a prefill. */
    shortBodyBytes: bytes.default(1_048_576),
    /** A body that nobody reads: of a rejection and of the answer to an order. */
    unreadBytes: bytes.default(65_536),
});

/** Bounds of what a backend server sends. */
export type AnswerBounds = z.infer<typeof answerBoundsSchema>;
/** Name of a bound; `afterAnswer`: bytes on a connection on which no answer is awaited. */
export type AnswerBound = keyof AnswerBounds | "afterAnswer";
