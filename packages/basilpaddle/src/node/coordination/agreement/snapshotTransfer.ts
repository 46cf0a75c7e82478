import { crc32 } from "node:zlib";
import { Invariant } from "../../state/index.js";
import type { MessageOf } from "./message.js";
import type { AgreementState, Leadership, Progress } from "./state.js";

const defaultChunkBytes = 256 * 1024;

/** Sends a member the next chunk of a snapshot, or the same one again if it wasn't acknowledged. */
export function sendChunk(state: AgreementState, leadership: Leadership, identity: string, progress: Progress): void {
    if (progress.transfer === undefined) {
        Invariant.assert(state.snapshot !== undefined, "entries removed from the log are in the snapshot");
        progress.transfer = { snapshot: state.snapshot, offset: 0 };
    }
    const { snapshot, offset } = progress.transfer;
    const end = offset + (state.options.chunkBytes ?? defaultChunkBytes);
    const bytes = snapshot.data.subarray(offset, end);
    state.send(identity, {
        kind: "snapshotChunk",
        term: state.term,
        description: snapshot.description,
        offset,
        total: snapshot.data.length,
        bytes,
        checksum: crc32(bytes),
        round: leadership.round,
        sentAt: state.now,
    });
}

/** Handles a chunk; after the last one, the snapshot replaces the state of this replica. */
export function onChunk(state: AgreementState, from: string, message: MessageOf<"snapshotChunk">): void {
    const { description, round, sentAt } = message;
    const echoed = { round, sentAt, term: state.term };
    if (description.index <= state.committed) {
        state.incomingSnapshot = undefined;
        state.sendSynced(from, { kind: "appended", matched: description.index, ...echoed });
        return;
    }
    if (state.incomingSnapshot?.index !== description.index || state.incomingSnapshot.term !== description.term) {
        state.incomingSnapshot = { index: description.index, term: description.term, chunks: [], offset: 0 };
    }
    const incoming = state.incomingSnapshot;
    if (message.offset === incoming.offset && crc32(message.bytes) === message.checksum) {
        incoming.chunks.push(message.bytes);
        incoming.offset += message.bytes.length;
    }
    if (incoming.offset < message.total) {
        state.sendSynced(from, { kind: "chunkTaken", index: incoming.index, offset: incoming.offset, ...echoed });
        return;
    }
    installSnapshot(state, message, Buffer.concat(incoming.chunks));
    state.sendSynced(from, { kind: "appended", matched: description.index, ...echoed });
}

/** Handles the acknowledgement of a chunk, and sends the next one. */
export function onChunkTaken(
    state: AgreementState,
    leadership: Leadership,
    from: string,
    answer: MessageOf<"chunkTaken">,
): void {
    const progress = leadership.progress.get(from);
    const transfer = progress?.transfer;
    if (progress === undefined || transfer?.snapshot.description.index !== answer.index) {
        return;
    }
    // A duplicate would send the same chunk again, so only an answer that advances the offset, or restarts at 0, counts.
    if (answer.offset > transfer.offset || answer.offset === 0) {
        transfer.offset = answer.offset;
        sendChunk(state, leadership, from, progress);
    }
}

function installSnapshot(state: AgreementState, message: MessageOf<"snapshotChunk">, data: Uint8Array): void {
    const { description } = message;
    const snapshot = { description, data };
    state.incomingSnapshot = undefined;
    state.replaceLog(description);
    state.effect({ kind: "restore", snapshot });
    state.save(snapshot);
}
