import { Encoder } from "cbor-x";
import { z } from "zod";
import type { Command } from "../../protocol/index.js";

const index = z.int().min(0);
/** Bytes. `z.instanceof` would require a separate ArrayBuffer, but a slice of a frame shares the frame's buffer. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "bytes are expected");
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** The members of the group, by identity. Only voters count towards a quorum. */
export const membershipSchema = z.object({ voters: z.array(z.string()), learners: z.array(z.string()) });

/** A position in the log. The term distinguishes conflicting entries with the same index. */
export const positionSchema = z.object({ index, term: index });

/** A log entry. Its data stays encoded until it is applied, so that it is encoded only once. */
export const entrySchema = positionSchema.extend({
    kind: z.enum(["command", "viewCommand", "membership", "noop"]),
    data: bytesSchema,
});

/** The last log position that a snapshot covers, and the membership there. */
export const snapshotDescriptionSchema = positionSchema.extend({
    membership: membershipSchema,
    /** Index of the latest view command that the snapshot covers. */
    view: index,
});

/** The members of the group. */
export type Membership = z.infer<typeof membershipSchema>;
/** A position in the log. */
export type Position = z.infer<typeof positionSchema>;
/** A log entry. */
export type Entry = z.infer<typeof entrySchema>;
/** The last log position that a snapshot covers, and the membership there. */
export type SnapshotDescription = z.infer<typeof snapshotDescriptionSchema>;
/** The serialised state machine after the described entry. */
export type Snapshot = { readonly description: SnapshotDescription; readonly data: Uint8Array; };

/** Encodes the data of an entry. */
export function encodeContent(content: Command | Membership): Uint8Array {
    // The encoder reuses its buffer; without the copy, a small entry would keep the whole buffer in memory.
    return Uint8Array.from(encoder.encode(content));
}

/** Decodes a command without validating it: that was done before it was proposed, and checksums protect it since. */
export function decodeCommand(entry: Entry): Command {
    return encoder.decode(entry.data) as Command;
}

/** Decodes and validates a membership. */
export function decodeMembership(entry: Entry): Membership {
    return membershipSchema.parse(encoder.decode(entry.data));
}

/** Encodes a value to be stored in a file. */
export function encodeStored(value: unknown): Uint8Array {
    return Uint8Array.from(encoder.encode(value));
}

/** Decodes a value read from a file. */
export function decodeStored(bytes: Uint8Array): unknown {
    return encoder.decode(bytes);
}

/** The daemon name in an identity: the part before the `#`. */
export function nameOf(identity: string): string {
    return identity.split("#", 1)[0]!;
}

/** Number of voters that form a quorum: a majority. */
export function quorumSize(membership: Membership): number {
    return Math.floor(membership.voters.length / 2) + 1;
}
