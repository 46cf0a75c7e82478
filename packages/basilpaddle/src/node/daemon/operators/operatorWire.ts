import { z } from "zod";
import {
    changeSchema,
    commandResultSchema,
    declarationSchema,
    findingSchema,
    viewSchema,
} from "../../protocol/index.js";
import { auditEntrySchema, auditTopics, historyEntrySchema } from "../../state/index.js";
import { heldAnswerSchema, releasedAnswerSchema } from "./heldWire.js";

const index = z.int().min(0);
const limit = z.coerce.number().int().min(1).max(1_000).default(50);

/** A change as an operator posts it; the daemon merges the files itself, so that history and declaration can't differ. */
export const postedChangeSchema = changeSchema.omit({ declaration: true });

/** What an operator asks of the deployment. */
export const operatorRequestSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("status") }),
    z.object({ kind: z.literal("configuration") }),
    z.object({ kind: z.literal("history"), limit }),
    z.object({
        kind: z.literal("audit"),
        limit,
        before: z.coerce.number().int().optional(),
        topic: z.enum(auditTopics).optional(),
    }),
    z.object({ kind: z.literal("apply"), change: changeSchema }),
    /** Takes a backend server out: it gets no new work, as if it had said itself that it is leaving. */
    z.object({ kind: z.literal("drain"), backend: z.string().min(1).max(200), operator: z.string().min(1).max(200) }),
]);

/** A session of an entry daemon, as the leader knows it. */
export const sessionStatusSchema = z.object({
    daemon: z.string(),
    incarnation: z.string(),
    failureDomain: z.string(),
    /** Revision that it last confirmed as applied; left out where this control daemon hasn't heard from it. */
    revision: index.optional(),
    /** Milliseconds since it was last heard. */
    silence: z.number().optional(),
});

/** What the control daemons know of the deployment. */
export const statusSchema = z.object({
    /** The control daemon that answered. */
    answeredBy: z.string(),
    leading: z.boolean(),
    leader: z.string().optional(),
    term: index,
    voters: z.array(z.string()),
    learners: z.array(z.string()),
    committedIndex: index,
    /** The newest accepted revision, and whether it is in force on every daemon that may start work. */
    revision: index,
    inForceEverywhere: z.boolean(),
    /** Daemons with an open session that haven't confirmed it. */
    waitingFor: z.array(z.string()),
    sessions: z.array(sessionStatusSchema),
    view: viewSchema,
});

/** Why an operator's request was not carried out. */
export const operatorFailureCodes = [
    "notLeader",
    "unreachable",
    "undecided",
    "unknownBackend",
    "findings",
    "badRequest",
    "notFound",
] as const;

/** What the daemon that was asked says of itself. */
export const daemonStatusSchema = z.object({
    name: z.string(),
    role: z.enum(["control", "entry"]),
    failureDomain: z.string(),
    ready: z.boolean(),
    /** Why it isn't ready. */
    reason: z.string().optional(),
    revision: index,
});

/** The answer to an operator. */
export const operatorAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("status"), status: statusSchema, daemon: daemonStatusSchema.optional() }),
    z.object({
        kind: z.literal("configuration"),
        revision: index,
        changeId: z.string(),
        operator: z.string(),
        declaration: declarationSchema,
        files: changeSchema.shape.files,
    }),
    z.object({ kind: z.literal("history"), entries: z.array(historyEntrySchema) }),
    z.object({ kind: z.literal("audit"), entries: z.array(auditEntrySchema) }),
    z.object({
        kind: z.literal("applied"),
        result: commandResultSchema,
        /** With `accepted`, which is answered once the change is in force: the entry daemons that confirmed it. */
        daemons: z.array(z.string()),
    }),
    heldAnswerSchema,
    releasedAnswerSchema,
    z.object({ kind: z.literal("drained"), backend: z.string(), incarnation: index }),
    z.object({
        kind: z.literal("failure"),
        code: z.enum(operatorFailureCodes),
        message: z.string(),
        findings: z.array(findingSchema).optional(),
        daemon: daemonStatusSchema.optional(),
    }),
]);

/** A request of an operator on its way between daemons. */
export const controlRequestSchema = z.object({ kind: z.literal("operator"), request: operatorRequestSchema });
/** Its answer by one control daemon. */
export const controlAnswerSchema = z.object({
    kind: z.literal("operator"),
    /** Whether it led throughout a round trip to a quorum that began after the request came. */
    leading: z.boolean(),
    /** Who leads, as far as it knows. */
    leader: z.string().optional(),
    answer: operatorAnswerSchema,
});

/** A change as an operator posts it. */
export type PostedChange = z.infer<typeof postedChangeSchema>;
/** What an operator asks of the deployment. */
export type OperatorRequest = z.infer<typeof operatorRequestSchema>;
/** The answer to an operator. */
export type OperatorAnswer = z.infer<typeof operatorAnswerSchema>;
/** The answer of one control daemon to a request of an operator. */
export type ControlAnswer = z.infer<typeof controlAnswerSchema>;
/** Why a request was not carried out. */
export type OperatorFailure = Extract<OperatorAnswer, { kind: "failure"; }>;
/** What the control daemons know of the deployment. */
export type DeploymentStatus = z.infer<typeof statusSchema>;
/** A session of an entry daemon, as the leader knows it. */
export type SessionStatus = z.infer<typeof sessionStatusSchema>;
/** What the daemon that was asked says of itself. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
