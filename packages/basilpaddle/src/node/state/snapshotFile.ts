import { Damage } from "./damage.js";
import type { Disk } from "./disk.js";
import { frameRecord, readRecords } from "./log/index.js";

/** First bytes of a snapshot file; the last byte is the version of the format. */
const header = Buffer.from("bpsnap\x00\x01", "latin1");
const recordCount = 2;

/** A snapshot on disk: the description of what it covers, and the state itself. */
export type StoredSnapshot = { readonly description: Uint8Array; readonly data: Uint8Array; };

/** Replaces the snapshot file; resolves once the new one is durable. */
export async function writeSnapshot(disk: Disk, name: string, snapshot: StoredSnapshot): Promise<void> {
    await disk.replace(
        name,
        Buffer.concat([header, frameRecord(snapshot.description), frameRecord(snapshot.data)]),
    );
}

/** Reads the snapshot file; undefined if there is none. It is written atomically, so any deviation throws `Damage`. */
export async function readSnapshot(disk: Disk, name: string): Promise<StoredSnapshot | undefined> {
    const bytes = await disk.read(name);
    if (bytes === undefined) {
        return undefined;
    }
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    if (!buffer.subarray(0, header.length).equals(header)) {
        throw Damage.create(name, 0, "it doesn't start with the header of a version 1 snapshot file");
    }
    const { records, end } = readRecords(name, buffer, header.length);
    const [description, data] = records;
    if (description === undefined || data === undefined || records.length !== recordCount || end !== buffer.length) {
        throw Damage.create(name, end, "it doesn't contain exactly two complete records");
    }
    return { description: description.body, data: data.body };
}
