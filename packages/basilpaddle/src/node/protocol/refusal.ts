import { z } from "zod";

/** What is known about the execution of a request that received no complete answer. */
export const outcomes = ["notRun", "failedAfterStarting", "unknown"] as const;
/** What is known about the execution of a request that received no complete answer. */
export type Outcome = (typeof outcomes)[number];

/** Every reason for refusing or failing a request, with its HTTP status. */
export const refusalStatus = {
    badRequest: 400,
    malformedBody: 400,
    bodyTooLarge: 413,
    headersTooLarge: 431,
    requestTimeout: 408,
    unauthenticated: 401,
    unknownModel: 404,
    unknownRoute: 404,
    methodNotAllowed: 405,
    keyMissing: 400,
    keyReused: 422,
    runInProgress: 409,
    outcomeUnknown: 409,
    answerNotKept: 409,
    organisationLimit: 429,
    poolFull: 429,
    targetsOutOfReach: 503,
    noBackend: 503,
    heldBack: 503,
    noRoom: 503,
    shuttingDown: 503,
    viewExpired: 503,
    noQuorum: 503,
    recordsFull: 503,
    backendRefused: 502,
    backendFailed: 502,
    backendTimeout: 504,
    deadlineExceeded: 504,
    callerGone: 499,
    internal: 500,
} as const;

/** Code of a refusal. */
export type RefusalCode = keyof typeof refusalStatus;

/** A final answer that reports a refusal or failure. */
export const refusalSchema = z.object({
    code: z.enum(Object.keys(refusalStatus) as [RefusalCode, ...RefusalCode[]]),
    outcome: z.enum(outcomes),
    message: z.string(),
    /** Milliseconds after which a retry may succeed. */
    retryAfter: z.int().min(0).optional(),
});

/** A final answer that reports a refusal or failure. */
export type Refusal = z.infer<typeof refusalSchema>;
