import { z } from "zod";
import { commandResultSchema, commandSchema, incarnationSchema } from "./command.js";
import { crashNewsSchema, crashQuestionSchema } from "./crash.js";
import { decisionSchema, demandSchema, holdingSchema, loadRelaySchema, progressSchema } from "./scheduling.js";
import { viewSchema, viewStepSchema } from "./view.js";

const index = z.int().min(0);

/** Requests between daemons, over framed TCP. Voters' own messages travel as `agreement`, opaque at this level. */
export const peerRequestSchema = z.discriminatedUnion("kind", [
    /** A voter's message to another voter; the answer is `received`, and replies are messages of their own. */
    z.object({ kind: z.literal("agreement"), from: z.string(), message: z.unknown() }),
    /** An entry daemon asks one control daemon whether its view is still the newest. */
    z.object({
        kind: z.literal("confirmView"),
        session: incarnationSchema,
        applied: index,
        revision: index,
        /** Backend servers that renewed with this daemon since it last asked. */
        renewals: z.array(z.object({ id: z.string(), incarnation: index })),
        /** Whether missing steps should come with the answer. */
        wantsSteps: z.boolean(),
        crashes: crashQuestionSchema.optional(),
    }),
    /** A control daemon that doesn't lead tells the leader whom it heard since it last told. */
    z.object({
        kind: z.literal("heard"),
        sessions: z.array(z.object({ session: incarnationSchema, applied: index, revision: index })),
        renewals: z.array(z.object({ id: z.string(), incarnation: index })),
    }),
    z.object({ kind: z.literal("propose"), command: commandSchema }),
    z.object({ kind: z.literal("reserve"), demand: demandSchema }),
    z.object({ kind: z.literal("withdraw"), attempt: z.string() }),
    /** What a daemon has taken in the pool without its scheduler, which was out of reach. */
    z.object({ kind: z.literal("taken"), pool: z.string(), holding: holdingSchema }),
    /** The decode engine that an attempt holds has proved that it has no free slot: is there one elsewhere? */
    z.object({ kind: z.literal("move"), pool: z.string(), holding: holdingSchema }),
    z.object({ kind: z.literal("progress"), pool: z.string(), progress: z.array(progressSchema) }),
    z.object({ kind: z.literal("load"), pool: z.string(), reports: loadRelaySchema }),
    /** A new scheduler asks what a daemon holds in its pool; asked again with a new fence it must not use older ones. */
    z.object({ kind: z.literal("holdings"), pool: z.string(), fence: index }),
]);

/** Answers between daemons. */
export const peerAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("received") }),
    z.object({
        kind: z.literal("viewAnswer"),
        voter: z.string(),
        /** False for a learner or a daemon without a trusted disk: it counts for nothing in a confirmation. */
        voting: z.boolean(),
        /** Identities of all voters of its newest membership, committed or not. */
        voters: z.array(z.string()),
        term: index,
        leader: z.string().optional(),
        /** Log index of the newest view command that its log holds, committed or not. */
        appendedView: index,
        committedView: index,
        steps: z.array(viewStepSchema).optional(),
        snapshot: viewSchema.optional(),
        crashes: crashNewsSchema.optional(),
    }),
    z.object({ kind: z.literal("result"), result: commandResultSchema, index }),
    z.object({ kind: z.literal("notLeader"), leader: z.string().optional() }),
    /** The command may or may not come to be held by a quorum; the same command may be proposed again. */
    z.object({ kind: z.literal("undecided"), reason: z.string() }),
    z.object({ kind: z.literal("decision"), decision: decisionSchema }),
    z.object({ kind: z.literal("notScheduler"), holder: incarnationSchema.optional() }),
    /** The decode engine that the attempt holds from now on; left out where none has a free slot. */
    z.object({ kind: z.literal("moved"), decode: z.string().optional() }),
    z.object({ kind: z.literal("held"), holdings: z.array(holdingSchema) }),
    z.object({ kind: z.literal("failure"), message: z.string() }),
]);

/** A request between daemons. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;
/** An answer between daemons. */
export type PeerAnswer = z.infer<typeof peerAnswerSchema>;
