import { expect } from "chai";
import { DocumentState, LogFile, MemoryDisk } from "../index.js";

const at = 1;

describe("document state", () => {
    it("keeps the highest version and the first content stored under it", () => {
        const state = DocumentState.create();
        state.apply(1, { kind: "storeDocument", version: 7, content: "seven", at });
        state.apply(2, { kind: "storeDocument", version: 5, content: "five", at });
        state.apply(3, { kind: "storeDocument", version: 7, content: "other seven", at });
        expect(state.current()).to.deep.equal({ version: 7, content: "seven" });
    });

    it("is restored unchanged from a snapshot and notifies its listeners", () => {
        const state = DocumentState.create();
        state.apply(1, { kind: "storeDocument", version: 7, content: "seven", at });
        const restored = DocumentState.create();
        const notifiedVersions: number[] = [];
        restored.onChange(document => notifiedVersions.push(document.version));
        restored.restore(state.snapshot());
        expect([restored.current().content, notifiedVersions]).to.deep.equal(["seven", [7]]);
    });

    it("rejects commands of other state machines", () => {
        const result = DocumentState.create().apply(1, { kind: "releaseRun", key: "k", token: "t", at });
        expect(result.kind).to.equal("stale");
    });
});

describe("a log file opened with tornTail", () => {
    async function logWith(change: (bytes: Buffer, lastRecordAt: number) => Buffer): Promise<MemoryDisk> {
        const disk = MemoryDisk.create();
        const records = [Buffer.from("one"), Buffer.from("two")];
        await LogFile.initialise(disk, "log", records);
        const lastRecordAt = (await disk.read("log"))!.length;
        await LogFile.initialise(disk, "log", [...records, Buffer.from("three")]);
        await disk.replace("log", change(Buffer.from((await disk.read("log"))!), lastRecordAt));
        return disk;
    }

    async function bodies(disk: MemoryDisk): Promise<string[]> {
        const { records } = await LogFile.create(disk, "log", { tornTail: true });
        return records.map(record => record.body.toString());
    }

    // Guards against losing the whole group after a power loss on all hosts: the file grew by the length of the last
    // write, but some of its bytes never reached the disk. If the reader treats these unsynced bytes as corruption of
    // synced data, all voters discard their identities at once.
    it("is truncated before a last record whose bytes are all zero", async () => {
        const disk = await logWith((bytes, at) =>
            Buffer.concat([bytes.subarray(0, at), Buffer.alloc(bytes.length - at)])
        );
        expect(await bodies(disk)).to.deep.equal(["one", "two"]);
    });

    it("is truncated before a last record with a corrupt body", async () => {
        const disk = await logWith(bytes => {
            bytes[bytes.length - 1]! ^= 0xff;
            return bytes;
        });
        expect(await bodies(disk)).to.deep.equal(["one", "two"]);
    });

    it("throws Damage if a complete record follows the corrupt one", async () => {
        const disk = await logWith((bytes, at) => {
            bytes[at - 1]! ^= 0xff;
            return bytes;
        });
        const outcome = await LogFile.create(disk, "log", { tornTail: true }).catch((error: unknown) => error);
        expect(outcome).to.include({ name: "Damage" });
    });
});
