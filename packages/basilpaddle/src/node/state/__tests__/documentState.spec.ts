import { expect } from "chai";
import { DocumentState, LogFile, MemoryDisk } from "../index.js";

const at = 1;

describe("the state of a document", () => {
    it("keeps the highest version, and the first content under it", () => {
        const state = DocumentState.create();
        state.apply(1, { kind: "storeDocument", version: 7, content: "seven", at });
        state.apply(2, { kind: "storeDocument", version: 5, content: "five", at });
        state.apply(3, { kind: "storeDocument", version: 7, content: "other seven", at });
        expect(state.current()).to.deep.equal({ version: 7, content: "seven" });
    });

    it("comes out of a snapshot as it went in, and tells its listeners", () => {
        const state = DocumentState.create();
        state.apply(1, { kind: "storeDocument", version: 7, content: "seven", at });
        const restored = DocumentState.create();
        const heard: number[] = [];
        restored.onChange(document => heard.push(document.version));
        restored.restore(state.snapshot());
        expect([restored.current().content, heard]).to.deep.equal(["seven", [7]]);
    });

    it("does nothing with commands of another state", () => {
        const result = DocumentState.create().apply(1, { kind: "releaseRun", key: "k", token: "t", at });
        expect(result.kind).to.equal("stale");
    });
});

describe("a log whose last write may be torn", () => {
    async function logWith(change: (bytes: Buffer, lastRecordAt: number) => Buffer): Promise<MemoryDisk> {
        const disk = MemoryDisk.create();
        const records = [Buffer.from("one"), Buffer.from("two")];
        await LogFile.initialise(disk, "log", records);
        const shorter = (await disk.read("log"))!.length;
        await LogFile.initialise(disk, "log", [...records, Buffer.from("three")]);
        await disk.replace("log", change(Buffer.from((await disk.read("log"))!), shorter));
        return disk;
    }

    async function bodies(disk: MemoryDisk): Promise<string[]> {
        const { records } = await LogFile.create(disk, "log", { tornTail: true });
        return records.map(record => record.body.toString());
    }

    // Symptom: after a loss of power everywhere all voters give their identities up at once, and no group is left.
    // Sequence: the file has grown by the last write, but some of its bytes never reached the disk.
    // Cause: the reader takes bytes that were never synced for damage of what was.
    it("is cut where the last record has its length but not its bytes", async () => {
        const disk = await logWith((bytes, at) =>
            Buffer.concat([bytes.subarray(0, at), Buffer.alloc(bytes.length - at)])
        );
        expect(await bodies(disk)).to.deep.equal(["one", "two"]);
    });

    it("is cut where a part of the last record's body is missing", async () => {
        const disk = await logWith(bytes => {
            bytes[bytes.length - 1]! ^= 0xff;
            return bytes;
        });
        expect(await bodies(disk)).to.deep.equal(["one", "two"]);
    });

    it("is damage where a whole record follows", async () => {
        const disk = await logWith((bytes, at) => {
            bytes[at - 1]! ^= 0xff;
            return bytes;
        });
        const outcome = await LogFile.create(disk, "log", { tornTail: true }).catch((error: unknown) => error);
        expect(outcome).to.include({ name: "Damage" });
    });
});
