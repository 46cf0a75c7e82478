import { z } from "zod";
import {
    changeSchema,
    commandResultSchema,
    declarationSchema,
    findingSchema,
    viewSchema,
} from "../../protocol/index.js";
import { auditEntrySchema, auditTopics, historyEntrySchema } from "../../state/index.js";
import { quarantinedAnswerSchema, releasedAnswerSchema } from "./quarantineWire.js";

const index = z.int().min(0);
const limit = z.coerce.number().int().min(1).max(1_000).default(50);

/** A change as posted by an operator. The daemon merges the files itself, so that the stored files and declaration can't differ. */
export const postedChangeSchema = changeSchema.omit({ declaration: true });

/** A request of an operator to the deployment. */
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
    /**
     * Marks the current incarnation of a backend server as `leaving`, as if it had sent a leave message: it gets no new work.
     * This isn't the state `draining`, which only the holder of the orders lease sets.
     */
    z.object({ kind: z.literal("drain"), backend: z.string().min(1).max(200), operator: z.string().min(1).max(200) }),
]);

/** A session of an entry daemon, as known to the control daemon that answers. */
export const sessionStatusSchema = z.object({
    daemon: z.string(),
    incarnation: z.string(),
    failureDomain: z.string(),
    /** Revision that it last confirmed as applied; absent if this control daemon has received no heartbeat of it. */
    revision: index.optional(),
    /** Milliseconds since its last heartbeat. */
    silence: z.number().optional(),
});

/** State of the deployment, as known to the control daemon that answers. */
export const statusSchema = z.object({
    /** The control daemon that answered. */
    answeredBy: z.string(),
    leading: z.boolean(),
    leader: z.string().optional(),
    term: index,
    voters: z.array(z.string()),
    learners: z.array(z.string()),
    committedIndex: index,
    /** The latest accepted revision, and whether it is in force on every daemon that may start work. */
    revision: index,
    inForceEverywhere: z.boolean(),
    /** Daemons with an open session that haven't confirmed this revision. */
    waitingFor: z.array(z.string()),
    sessions: z.array(sessionStatusSchema),
    view: viewSchema,
});

/** Reasons why an operator's request was not carried out. */
export const operatorFailureCodes = [
    "notLeader",
    "unreachable",
    "undecided",
    "unknownBackend",
    "findings",
    "badRequest",
    "notFound",
] as const;

/** Status of the daemon that received the operator's request. */
export const daemonStatusSchema = z.object({
    name: z.string(),
    role: z.enum(["control", "entry"]),
    failureDomain: z.string(),
    ready: z.boolean(),
    /** Why the daemon isn't ready. */
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
        /** Entry daemons that confirmed the change, if it was accepted. An accepted change is answered only once it is in force. */
        daemons: z.array(z.string()),
    }),
    quarantinedAnswerSchema,
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

/** A request of an operator, forwarded between daemons. */
export const controlRequestSchema = z.object({ kind: z.literal("operator"), request: operatorRequestSchema });
/** The answer of one control daemon to a forwarded request. */
export const controlAnswerSchema = z.object({
    kind: z.literal("operator"),
    /** Whether the control daemon led throughout a round trip to a quorum that began after the request was received. */
    leading: z.boolean(),
    /** The leader, as far as this control daemon knows. */
    leader: z.string().optional(),
    answer: operatorAnswerSchema,
});

/** A change as posted by an operator. */
export type PostedChange = z.infer<typeof postedChangeSchema>;
/** A request of an operator to the deployment. */
export type OperatorRequest = z.infer<typeof operatorRequestSchema>;
/** The answer to an operator. */
export type OperatorAnswer = z.infer<typeof operatorAnswerSchema>;
/** The answer of one control daemon to a request of an operator. */
export type ControlAnswer = z.infer<typeof controlAnswerSchema>;
/** An answer that says why a request was not carried out. */
export type OperatorFailure = Extract<OperatorAnswer, { kind: "failure"; }>;
/** State of the deployment, as known to the control daemon that answers. */
export type DeploymentStatus = z.infer<typeof statusSchema>;
/** A session of an entry daemon, as known to the control daemon that answers. */
export type SessionStatus = z.infer<typeof sessionStatusSchema>;
/** Status of the daemon that received the operator's request. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
