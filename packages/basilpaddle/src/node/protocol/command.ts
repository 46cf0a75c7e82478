import { z } from "zod";
import { announcementSchema } from "./backend.js";
import { declarationSchema } from "./declaration.js";
import { outcomes } from "./refusal.js";

const identifier = z.string().min(1).max(400);
const index = z.int().min(0);
const wallTime = z.int().min(0);

/** One start of a daemon. */
export const incarnationSchema = z.object({
    daemon: identifier,
    /** Made anew, at random, at every start of the process. */
    incarnation: identifier,
});

/** A change of the configuration, as an operator sends it. */
export const changeSchema = z.object({
    /** Made by the operator's tool; a resend of the same change carries the same one. */
    changeId: identifier,
    operator: identifier,
    /** The revision that the change was made against. */
    base: index,
    declaration: declarationSchema,
    /** The files that the declaration was merged from, with their text, for the history. */
    files: z.array(z.object({ name: z.string(), text: z.string() })),
    note: z.string().max(2_000).default(""),
});

/** The answer of a finished run, kept so that a second arrival gets it again. */
export const keptAnswerSchema = z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.instanceof(Uint8Array),
});

/** Identifies a run: organisation, route and idempotency key in one string. */
const runKey = identifier;

/** A change of the replicated state. Commands marked "view" below are part of what every entry daemon follows. */
export const commandSchema = z.discriminatedUnion("kind", [
    // View.
    z.object({ kind: z.literal("changeConfiguration"), change: changeSchema, at: wallTime }),
    z.object({
        kind: z.literal("openSession"),
        session: incarnationSchema,
        failureDomain: identifier,
        peers: z.object({ host: z.string(), port: z.int() }),
        at: wallTime,
    }),
    z.object({
        kind: z.literal("closeSession"),
        session: incarnationSchema,
        reason: z.enum(["left", "silent", "replaced"]),
        at: wallTime,
    }),
    /** Granted only if the lease is free or its holder's session is closed; the fencing number is the log index. */
    z.object({ kind: z.literal("grantLease"), lease: identifier, holder: incarnationSchema, at: wallTime }),
    z.object({ kind: z.literal("releaseLease"), lease: identifier, holder: incarnationSchema, at: wallTime }),
    z.object({ kind: z.literal("announceBackend"), announcement: announcementSchema, at: wallTime }),
    z.object({
        kind: z.literal("markBackend"),
        id: identifier,
        incarnation: index,
        /** `leaving` by its own word or an operator's; `gone` after silence. */
        mark: z.enum(["leaving", "gone"]),
        by: identifier,
        at: wallTime,
    }),
    /**
     * The holder of the orders lease takes an engine out of placement before an order that would cut what runs there,
     * or takes it in again. Applied only while its fencing number is that of the lease.
     */
    z.object({
        kind: z.literal("drainBackend"),
        id: identifier,
        incarnation: index,
        draining: z.boolean(),
        fence: index,
        at: wallTime,
    }),
    /** The holder of the orders lease names the version of a model that new attempts run. */
    z.object({
        kind: z.literal("moveTraffic"),
        pool: identifier,
        model: identifier,
        version: identifier,
        fence: index,
        at: wallTime,
    }),
    // Not view.
    z.object({
        kind: z.literal("startRun"),
        key: runKey,
        /** Hash of the request, so that the same key with another body is refused. */
        digest: z.string(),
        owner: incarnationSchema,
        /** Made anew for each arrival; a resend of the same proposal carries the same one. */
        token: identifier,
        at: wallTime,
    }),
    z.object({
        kind: z.literal("finishRun"),
        key: runKey,
        token: identifier,
        /** `answered`, or what is known of the failed run. */
        result: z.enum(["answered", ...outcomes]),
        answer: keptAnswerSchema.optional(),
        at: wallTime,
    }),
    /** Forgets a run that was proved not to have run, so that its key may be used again. */
    z.object({ kind: z.literal("releaseRun"), key: runKey, token: identifier, at: wallTime }),
    /** Forgets the runs that were started or released at or below a log index; no wall clock has a say in it. */
    z.object({ kind: z.literal("expireRuns"), upTo: index, at: wallTime }),
    /** Stores a whole document under the number its author gave it; the highest number wins. */
    z.object({ kind: z.literal("storeDocument"), version: index, content: z.string(), at: wallTime }),
    /** An order to an engine, or its outcome, for the audit trail. */
    z.object({
        kind: z.literal("recordOrder"),
        order: z.object({
            fence: index,
            backend: identifier,
            incarnation: index,
            action: z.string(),
            outcome: z.enum(["sent", "done", "refused", "failed", "unknown"]),
            by: identifier,
        }),
        at: wallTime,
    }),
]);

/** What became of a command once a quorum held it. */
export const commandResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), index }),
    z.object({ kind: z.literal("accepted"), revision: index }),
    z.object({
        kind: z.literal("conflict"),
        /** The revision in force of acceptance, and whose change made it. */
        revision: index,
        winner: z.object({ operator: identifier, changeId: identifier }),
    }),
    z.object({ kind: z.literal("granted"), fence: index }),
    z.object({ kind: z.literal("held"), holder: incarnationSchema, fence: index }),
    /** The state that the command was made for has passed; nothing was changed. */
    z.object({ kind: z.literal("stale"), reason: z.string() }),
    z.object({ kind: z.literal("started") }),
    /** Another arrival of this key came first. */
    z.object({
        kind: z.literal("known"),
        state: z.enum(["running", "answered", ...outcomes]),
        owner: incarnationSchema,
        sameDigest: z.boolean(),
        answer: keptAnswerSchema.optional(),
    }),
    z.object({ kind: z.literal("full"), limit: z.int() }),
]);

/** One start of a daemon. */
export type Incarnation = z.infer<typeof incarnationSchema>;
/** A change of the configuration, as an operator sends it. */
export type Change = z.infer<typeof changeSchema>;
/** The answer of a finished run, kept so that a second arrival gets it again. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;
/** A change of the replicated state. */
export type Command = z.infer<typeof commandSchema>;
/** What became of a command once a quorum held it. */
export type CommandResult = z.infer<typeof commandResultSchema>;

const viewKinds: ReadonlySet<Command["kind"]> = new Set([
    "changeConfiguration",
    "openSession",
    "closeSession",
    "grantLease",
    "releaseLease",
    "announceBackend",
    "markBackend",
    "drainBackend",
    "moveTraffic",
]);

/** Whether every entry daemon has to follow the command before it may start new work. */
export function isViewCommand(command: Command): boolean {
    return viewKinds.has(command.kind);
}
