import { z } from "zod";
import { bytesSchema, entrySchema, positionSchema, snapshotDescriptionSchema } from "./entry.js";

const index = z.int().min(0);
const term = index;
/** The leader's round, and the send time on its own monotonic clock. Replies echo both; nobody else interprets them. */
const roundFields = { round: index, sentAt: z.number() };

/** The messages between replicas. Each is sent once and may be lost, duplicated, delayed or reordered. */
export const messageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("requestVote"),
        term,
        last: positionSchema,
        /** A pre-vote: asks whether a vote would be granted, without changing the receiver's term or vote. */
        trial: z.boolean(),
        /** The leader requested this election, so that a live leader is no reason to refuse the vote. */
        handover: z.boolean(),
    }),
    z.object({ kind: z.literal("voteAnswer"), term, trial: z.boolean(), granted: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        term,
        previous: positionSchema,
        entries: z.array(entrySchema),
        committed: index,
        ...roundFields,
    }),
    /** The log matches the leader's up to `matched`, and is synced up to there. */
    z.object({ kind: z.literal("appended"), term, matched: index, ...roundFields }),
    /** The log doesn't contain the previous entry. `hint` is the last position that may match. */
    z.object({ kind: z.literal("conflict"), term, hint: positionSchema, ...roundFields }),
    z.object({
        kind: z.literal("snapshotChunk"),
        term,
        description: snapshotDescriptionSchema,
        offset: index,
        total: index,
        bytes: bytesSchema,
        checksum: z.int().min(0),
        ...roundFields,
    }),
    /** Acknowledges the first `offset` bytes of the snapshot at `index`. */
    z.object({ kind: z.literal("chunkTaken"), term, index, offset: index, ...roundFields }),
    /** The leader requests the receiver to start an election now. */
    z.object({ kind: z.literal("standNow"), term }),
    /** A replica that isn't a member, or may no longer be one, requests to join the group. */
    z.object({ kind: z.literal("join") }),
    /** Reply to `join` from a replica that isn't the leader but knows it. */
    z.object({ kind: z.literal("joinAt"), leader: z.string() }),
]);

/** A message between replicas, with its group and receiver. */
export const envelopeSchema = z.object({
    /** Name of the group; undefined if the sender hasn't joined one yet. */
    cluster: z.string().optional(),
    /** Identity of the receiver, so that a new replica on a host isn't mistaken for the old one; in `join`, its name. */
    to: z.string(),
    body: messageSchema,
});

/** A message between replicas. */
export type Message = z.infer<typeof messageSchema>;
/** A message between replicas, with its group and receiver. */
export type Envelope = z.infer<typeof envelopeSchema>;
/** The message of one kind. */
export type MessageOf<Kind extends Message["kind"]> = Extract<Message, { kind: Kind; }>;
