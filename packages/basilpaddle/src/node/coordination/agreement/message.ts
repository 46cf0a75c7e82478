import { z } from "zod";
import { bytesSchema, entrySchema, positionSchema, snapshotDescriptionSchema } from "./entry.js";

const index = z.int().min(0);
const term = index;
/** When the leader asked, on its own monotonic clock; it comes back with the answer and means nothing elsewhere. */
const asked = { round: index, sentAt: z.number() };

/** What replicas say to each other. Each message is sent once and may be lost, doubled, late or out of order. */
export const messageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("requestVote"),
        term,
        last: positionSchema,
        /** A question without consequences: would you vote for me in this term? */
        trial: z.boolean(),
        /** The leader asked for this election, so that its being alive is no reason to refuse. */
        handover: z.boolean(),
    }),
    z.object({ kind: z.literal("voteAnswer"), term, trial: z.boolean(), granted: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        term,
        previous: positionSchema,
        entries: z.array(entrySchema),
        committed: index,
        ...asked,
    }),
    /** The log agrees with the leader's up to `matched`, and is synced that far. */
    z.object({ kind: z.literal("appended"), term, matched: index, ...asked }),
    /** The log doesn't hold the previous entry. `hint` is the last place that may agree. */
    z.object({ kind: z.literal("conflict"), term, hint: positionSchema, ...asked }),
    z.object({
        kind: z.literal("snapshotChunk"),
        term,
        description: snapshotDescriptionSchema,
        offset: index,
        total: index,
        bytes: bytesSchema,
        checksum: z.int().min(0),
        ...asked,
    }),
    /** Bytes of the snapshot at `index` held so far. */
    z.object({ kind: z.literal("chunkTaken"), term, index, offset: index, ...asked }),
    /** Stand for election now. */
    z.object({ kind: z.literal("standNow"), term }),
    /** A replica without a place in the group asks to be taken in. */
    z.object({ kind: z.literal("join") }),
    /** Answers `join` where this replica doesn't lead but knows who does. */
    z.object({ kind: z.literal("joinAt"), leader: z.string() }),
]);

/** What travels between replicas. */
export const envelopeSchema = z.object({
    /** The group; unknown to a replica that was not yet taken in. */
    cluster: z.string().optional(),
    /** Identity of the receiver, so that a new replica on the same host isn't taken for the old one; its name in `join`. */
    to: z.string(),
    body: messageSchema,
});

/** What replicas say to each other. */
export type Message = z.infer<typeof messageSchema>;
/** What travels between replicas. */
export type Envelope = z.infer<typeof envelopeSchema>;
/** One kind of message. */
export type MessageOf<Kind extends Message["kind"]> = Extract<Message, { kind: Kind; }>;
