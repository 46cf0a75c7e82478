import type { Entry, Position, Snapshot, SnapshotDescription } from "./entry.js";
import type { Message } from "./message.js";

/** A record of the log file. An entry record replaces the entry with the same index and all entries after it. */
export type LogRecord =
    /** The first record: the identity that owns the log, and the snapshot that its entries follow. */
    | { readonly kind: "base"; readonly owner: string; readonly base: SnapshotDescription; }
    | { readonly kind: "ballot"; readonly term: number; readonly vote?: string | undefined; }
    | { readonly kind: "entry"; readonly entry: Entry; };

/** A command to append to the log. The token identifies it in the resulting effects. */
export type ProposedCommand = {
    readonly token: number;
    readonly kind: "command" | "viewCommand";
    readonly data: Uint8Array;
};

/** An input of `step`. */
export type AgreementEvent =
    | { readonly kind: "tick"; }
    | { readonly kind: "message"; readonly from: string; readonly message: Message; }
    | { readonly kind: "propose"; readonly proposals: readonly ProposedCommand[]; }
    /** The numbered write and all writes before it are synced to disk. */
    | { readonly kind: "synced"; readonly write: number; }
    | { readonly kind: "confirm"; readonly token: number; }
    /** The serialised state machine after the entry at `index`. `keep` entries before it stay in the log. */
    | { readonly kind: "compact"; readonly index: number; readonly data: Uint8Array; readonly keep: number; }
    /** Requests the handover of leadership to another voter. */
    | { readonly kind: "handOver"; };

/** An action that `step` returns; the caller executes them in order. */
export type Effect =
    | { readonly kind: "write"; readonly write: number; readonly records: readonly LogRecord[]; }
    /** Replaces the snapshot file, then the log file. */
    | {
        readonly kind: "save";
        readonly write: number;
        readonly snapshot: Snapshot;
        readonly records: readonly LogRecord[];
    }
    /** Restores the state machine from a snapshot that was received from the leader. */
    | { readonly kind: "restore"; readonly snapshot: Snapshot; }
    | { readonly kind: "send"; readonly to: string; readonly message: Message; }
    | { readonly kind: "apply"; readonly entries: readonly Entry[]; }
    | { readonly kind: "leadership"; readonly leading: boolean; }
    | { readonly kind: "proposed"; readonly token: number; readonly position: Position; }
    | { readonly kind: "refused"; readonly token: number; readonly leader: string | undefined; }
    /** Answers a `confirm` event: whether this replica is still the leader. */
    | { readonly kind: "confirmed"; readonly token: number; readonly stillLeading: boolean; };
