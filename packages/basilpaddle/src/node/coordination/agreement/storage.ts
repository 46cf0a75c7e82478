import { z } from "zod";
import { Damage, type Disk, LogFile, type LogFileOptions, readSnapshot, writeSnapshot } from "../../state/index.js";
import type { Effect, LogRecord } from "./effect.js";
import {
    decodeStored,
    encodeStored,
    entrySchema,
    type Membership,
    type Snapshot,
    snapshotDescriptionSchema,
} from "./entry.js";
import { EntryLog } from "./entryLog.js";
import type { Recovered } from "./state.js";

/** Name of the log file. */
export const logFileName = "log";
/** Name of the snapshot file. */
export const snapshotFileName = "snapshot";

const recordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("base"), owner: z.string(), base: snapshotDescriptionSchema }),
    z.object({ kind: z.literal("ballot"), term: z.int().min(0), vote: z.string().optional() }),
    z.object({ kind: z.literal("entry"), entry: entrySchema }),
]);

type Write = Extract<Effect, { kind: "write" | "save"; }>;
type RecordAtOffset = { readonly offset: number; readonly record: LogRecord; };

/** Writes an empty log for a replica that starts with the given membership. */
export async function initialiseStorage(disk: Disk, owner: string, membership: Membership): Promise<void> {
    const base = { index: 0, term: 0, membership, view: 0 };
    const records: LogRecord[] = [{ kind: "base", owner, base }, { kind: "ballot", term: 0 }];
    await LogFile.initialise(disk, logFileName, records.map(encodeStored));
}

/** The log and snapshot files of one replica. */
export class Storage {
    private constructor(private readonly disk: Disk, private readonly log: LogFile) {}

    /** Opens the files and returns their content. Throws `Damage` if they are damaged. */
    static async create(
        disk: Disk,
        owner: string,
        options: LogFileOptions,
    ): Promise<{ readonly storage: Storage; readonly recovered: Recovered; readonly truncatedBytes: number; }> {
        const { file, records, truncatedBytes } = await LogFile.create(disk, logFileName, options);
        try {
            const snapshot = await loadSnapshot(disk);
            const recordsAtOffset = records.map(({ offset, body }) => ({ offset, record: decodeRecord(offset, body) }));
            return {
                storage: new Storage(disk, file),
                recovered: recover(recordsAtOffset, snapshot, owner),
                truncatedBytes,
            };
        }
        catch (error) {
            await file.close();
            throw error;
        }
    }

    /** Resolves once the write is synced. Writes become durable in the order of the calls. */
    write(write: Write): Promise<void> {
        const records = write.records.map(encodeStored);
        if (write.kind === "write") {
            return this.log.append(records);
        }
        const { description, data } = write.snapshot;
        // The snapshot is written first: without it, a log that no longer has the entries before it is useless.
        return this.log.rewrite(records, () => {
            return writeSnapshot(this.disk, snapshotFileName, { description: encodeStored(description), data });
        });
    }

    /** Number of syncs so far. */
    syncs(): number {
        return this.log.syncs();
    }

    close(): Promise<void> {
        return this.log.close();
    }
}

/** Rebuilds term, vote and log from the records, and reconciles the log with the snapshot. */
export function recover(
    records: readonly RecordAtOffset[],
    snapshot: Snapshot | undefined,
    owner: string,
): Recovered {
    const first = records[0]?.record;
    if (first?.kind !== "base") {
        throw Damage.create(logFileName, records[0]?.offset ?? 0, "the log doesn't begin with a base record");
    }
    if (first.owner !== owner) {
        throw Damage.create(logFileName, records[0]!.offset, `the log belongs to ${first.owner}, not to ${owner}`);
    }
    const log = EntryLog.create(first.base);
    let ballot: Extract<LogRecord, { kind: "ballot"; }> = { kind: "ballot", term: 0 };
    for (const { offset, record } of records.slice(1)) {
        if (record.kind === "base") {
            throw Damage.create(logFileName, offset, "a second base record");
        }
        if (record.kind === "ballot") {
            ballot = record;
            continue;
        }
        if (record.entry.index <= log.base.index || record.entry.index > log.lastIndex + 1) {
            throw Damage.create(logFileName, offset, `entry ${record.entry.index} doesn't follow ${log.lastIndex}`);
        }
        log.truncate(record.entry.index);
        log.append(record.entry);
    }
    return { term: ballot.term, vote: ballot.vote, log: reconcileWithSnapshot(log, snapshot), snapshot };
}

function reconcileWithSnapshot(log: EntryLog, snapshot: Snapshot | undefined): EntryLog {
    const snapshotIndex = snapshot?.description.index ?? 0;
    if (log.base.index > snapshotIndex) {
        throw Damage.create(
            snapshotFileName,
            0,
            `the snapshot ends at ${snapshotIndex}, but the log begins after ${log.base.index}`,
        );
    }
    // The process died after a received snapshot was written and before the log was replaced: the old log is obsolete.
    if (snapshot !== undefined && log.termAt(snapshotIndex) !== snapshot.description.term) {
        return EntryLog.create(snapshot.description);
    }
    return log;
}

async function loadSnapshot(disk: Disk): Promise<Snapshot | undefined> {
    const stored = await readSnapshot(disk, snapshotFileName);
    if (stored === undefined) {
        return undefined;
    }
    const description = snapshotDescriptionSchema.safeParse(decode(stored.description));
    if (!description.success) {
        throw Damage.create(snapshotFileName, 0, "invalid snapshot description");
    }
    return { description: description.data, data: stored.data };
}

function decodeRecord(offset: number, body: Uint8Array): LogRecord {
    const record = recordSchema.safeParse(decode(body));
    if (!record.success) {
        throw Damage.create(logFileName, offset, "invalid log record");
    }
    return record.data;
}

function decode(bytes: Uint8Array): unknown {
    try {
        return decodeStored(bytes);
    }
    catch {
        return undefined;
    }
}
