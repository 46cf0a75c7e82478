import { z } from "zod";
import { commandResultSchema, commandSchema, incarnationSchema } from "./command.js";
import { crashQuerySchema, crashUpdateSchema } from "./crash.js";
import {
    engineHoldingSchema,
    loadRelaySchema,
    progressSchema,
    schedulingDecisionSchema,
    schedulingRequestSchema,
} from "./scheduling.js";
import { viewSchema, viewStepSchema } from "./view.js";

const index = z.int().min(0);

/** Requests between daemons over framed TCP. Consensus messages between voters are sent as `agreement` and are opaque here. */
export const peerRequestSchema = z.discriminatedUnion("kind", [
    /** A consensus message to another voter. It is acknowledged with `received`; replies are separate messages. */
    z.object({ kind: z.literal("agreement"), from: z.string(), message: z.unknown() }),
    /** An entry daemon asks a control daemon whether its view is still the latest. */
    z.object({
        kind: z.literal("confirmView"),
        session: incarnationSchema,
        applied: index,
        revision: index,
        /** Backend servers that sent a heartbeat to this daemon since its previous request. */
        renewals: z.array(z.object({ id: z.string(), incarnation: index })),
        /** Whether the answer should include missing steps. */
        wantsSteps: z.boolean(),
        crashes: crashQuerySchema.optional(),
    }),
    /** A follower reports to the leader the heartbeats that it received since its previous report. */
    z.object({
        kind: z.literal("heard"),
        sessions: z.array(z.object({ session: incarnationSchema, applied: index, revision: index })),
        renewals: z.array(z.object({ id: z.string(), incarnation: index })),
    }),
    z.object({ kind: z.literal("propose"), command: commandSchema }),
    z.object({ kind: z.literal("reserve"), demand: schedulingRequestSchema }),
    z.object({ kind: z.literal("withdraw"), attempt: z.string() }),
    /** Reports engines that a daemon reserved in the pool by itself while the scheduler was unreachable. */
    z.object({ kind: z.literal("taken"), pool: z.string(), holding: engineHoldingSchema }),
    /** Requests another decode engine for an attempt whose reserved engine reported that it has no free slot. */
    z.object({ kind: z.literal("move"), pool: z.string(), holding: engineHoldingSchema }),
    z.object({ kind: z.literal("progress"), pool: z.string(), progress: z.array(progressSchema) }),
    z.object({ kind: z.literal("load"), pool: z.string(), reports: loadRelaySchema }),
    /** A new scheduler asks a daemon for its allocations in the pool. The daemon must then ignore decisions with lower fences. */
    z.object({ kind: z.literal("holdings"), pool: z.string(), fence: index }),
]);

/** Answers between daemons. */
export const peerAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("received") }),
    z.object({
        kind: z.literal("viewAnswer"),
        voter: z.string(),
        /** False for a learner or a daemon without a trusted disk; its answer doesn't count towards a confirmation. */
        voting: z.boolean(),
        /** Identities of all voters of its latest membership, committed or not. */
        voters: z.array(z.string()),
        term: index,
        leader: z.string().optional(),
        /** Log index of the latest view command in its log, committed or not. */
        appendedView: index,
        committedView: index,
        steps: z.array(viewStepSchema).optional(),
        snapshot: viewSchema.optional(),
        crashes: crashUpdateSchema.optional(),
    }),
    z.object({ kind: z.literal("result"), result: commandResultSchema, index }),
    z.object({ kind: z.literal("notLeader"), leader: z.string().optional() }),
    /** The command may or may not be committed later; the same command may be proposed again. */
    z.object({ kind: z.literal("undecided"), reason: z.string() }),
    z.object({ kind: z.literal("decision"), decision: schedulingDecisionSchema }),
    z.object({ kind: z.literal("notScheduler"), holder: incarnationSchema.optional() }),
    /** The decode engine now reserved for the attempt; omitted if none has a free slot. */
    z.object({ kind: z.literal("moved"), decode: z.string().optional() }),
    z.object({ kind: z.literal("held"), holdings: z.array(engineHoldingSchema) }),
    z.object({ kind: z.literal("failure"), message: z.string() }),
]);

/** A request between daemons. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;
/** An answer between daemons. */
export type PeerAnswer = z.infer<typeof peerAnswerSchema>;
