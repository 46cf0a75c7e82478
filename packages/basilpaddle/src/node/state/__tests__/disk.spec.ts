import { expect } from "chai";
import * as fc from "fast-check";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import {
    Damage,
    type Disk,
    FolderDisk,
    identityFile,
    LogFile,
    MemoryDisk,
    readIdentity,
    readSnapshot,
    writeIdentity,
    writeSnapshot,
} from "../index.js";

const bodies = fc.array(fc.uint8Array({ maxLength: 40 }), { minLength: 1, maxLength: 6 });

async function logOf(records: readonly Uint8Array[]): Promise<MemoryDisk> {
    const disk = MemoryDisk.create();
    await LogFile.initialise(disk, "log", records);
    return disk;
}

async function damageOf(work: Promise<unknown>): Promise<Damage> {
    const outcome = await work.then(() => undefined, (error: unknown) => error);
    expect(outcome).to.be.instanceOf(Damage);
    return outcome as Damage;
}

describe("log file", () => {
    it("truncated anywhere after its header yields the complete records before the cut", async () => {
        // Guards against a voter that refuses to start after a power loss during an append. The partial record was never
        // acknowledged and has to be ignored.
        await fc.assert(
            fc.asyncProperty(bodies, fc.nat(400), async (records, place) => {
                const whole = (await (await logOf(records)).read("log"))!;
                const headerBytes = (await (await logOf([])).read("log"))!.length;
                const length = headerBytes + place % (whole.length - headerBytes + 1);
                const disk = MemoryDisk.create();
                await disk.replace("log", whole.subarray(0, length));
                const opened = await LogFile.create(disk, "log");
                const found = opened.records.map(record => Uint8Array.from(record.body));
                expect(found).to.deep.equal(records.slice(0, found.length));
                await opened.file.append([Uint8Array.of(7)]);
                const again = await LogFile.create(disk.crash(), "log");
                expect(again.records.map(record => Uint8Array.from(record.body))).to.deep.equal([
                    ...found,
                    Uint8Array.of(7),
                ]);
            }),
            { seed: 1, numRuns: 200 },
        );
    });

    it("with any one byte changed throws Damage with the file and an offset", async () => {
        // Guards against a voter that loses acknowledged entries: a byte of an earlier record is corrupted, especially
        // in a length field, and the reader treats everything after it as an incomplete append.
        await fc.assert(
            fc.asyncProperty(bodies, fc.nat(400), fc.integer({ min: 1, max: 255 }), async (records, place, change) => {
                const bytes = Buffer.from((await (await logOf(records)).read("log"))!);
                const offset = place % bytes.length;
                bytes[offset] = bytes[offset]! ^ change;
                const disk = MemoryDisk.create();
                await disk.replace("log", bytes);
                const damage = await damageOf(LogFile.create(disk, "log"));
                expect(damage.file).to.equal("log");
                expect(damage.offset).to.be.at.most(offset);
            }),
            { seed: 2, numRuns: 300 },
        );
    });

    it("resolves an append only once its bytes are synced, with one sync for all pending appends", async () => {
        const disk = await logOf([]);
        const { file } = await LogFile.create(disk, "log");
        const appends = Array.from({ length: 50 }, (_, index) => file.append([Uint8Array.of(index)]));
        await appends[0];
        expect((await LogFile.create(disk.crash(), "log")).records.length).to.be.greaterThan(0);
        await Promise.all(appends);
        expect((await LogFile.create(disk.crash(), "log")).records).to.have.length(50);
        expect(file.syncs()).to.equal(1);
    });

    it("preserves the order of appends and rewrites", async () => {
        const disk = await logOf([]);
        const { file } = await LogFile.create(disk, "log");
        void file.append([Uint8Array.of(1)]);
        void file.rewrite([Uint8Array.of(2)]);
        await file.append([Uint8Array.of(3)]);
        const { records } = await LogFile.create(disk.crash(), "log");
        expect(records.map(record => [...record.body])).to.deep.equal([[2], [3]]);
    });
});

describe("snapshot and identity files", () => {
    const identity = { version: 1 as const, cluster: "test", name: "a", identity: "a#test", initialVoters: ["a#test"] };

    async function checkRoundTrip(disk: Disk): Promise<void> {
        expect(await readIdentity(disk)).to.equal(undefined);
        await writeIdentity(disk, identity);
        expect(await readIdentity(disk)).to.deep.equal(identity);
        await writeSnapshot(disk, "snapshot", { description: Buffer.from("what"), data: Buffer.from("state") });
        expect(Buffer.from((await readSnapshot(disk, "snapshot"))!.data).toString()).to.equal("state");
        await LogFile.initialise(disk, "log", [Uint8Array.of(1)]);
        const opened = await LogFile.create(disk, "log");
        await opened.file.append([Uint8Array.of(2)]);
        await opened.file.close();
        const again = await LogFile.create(disk, "log");
        expect(again.records).to.have.length(2);
        await again.file.close();
    }

    it("can be read back from a memory disk", () => checkRoundTrip(MemoryDisk.create()));

    it("can be read back from a folder", async () => {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "disk-"));
        await checkRoundTrip(await FolderDisk.create(folder));
        await fs.rm(folder, { recursive: true });
    });

    it("throw Damage when changed or truncated", async () => {
        const disk = MemoryDisk.create();
        await writeIdentity(disk, identity);
        const text = Buffer.from((await disk.read(identityFile))!).toString();
        await disk.replace(identityFile, Buffer.from(text.replaceAll("a#test", "b#test")));
        expect((await damageOf(readIdentity(disk))).file).to.equal(identityFile);
        await writeSnapshot(disk, "snapshot", { description: Buffer.from("what"), data: Buffer.from("state") });
        await disk.replace("snapshot", (await disk.read("snapshot"))!.subarray(0, -1));
        expect((await damageOf(readSnapshot(disk, "snapshot"))).file).to.equal("snapshot");
    });
});

// Guards against a directory that stops because a temporary file of its identity is missing. After the loss of all its
// data the group writes a new identity file; at the same time the directory writes its restart cache for the first time
// in this incarnation and opens the same folder for it. Opening a folder removes the temporary files of interrupted
// replacements, and removed that of the replacement in progress as well.
describe("a folder opened while the process writes to it", () => {
    async function replaceErrorsWhileOpening(open: (folder: string) => Promise<Disk>): Promise<readonly string[]> {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "disk-"));
        const disk = await FolderDisk.create(folder);
        const errors: string[] = [];
        for (let attempt = 0; attempt < 30; attempt++) {
            let isReplacing = true;
            const replacing = disk.replace("identity.json", Buffer.from(`${attempt}`))
                .catch((error: unknown) => errors.push(String(error)))
                .finally(() => {
                    isReplacing = false;
                });
            while (isReplacing) {
                await open(folder);
            }
            await replacing;
        }
        await fs.rm(folder, { recursive: true });
        return errors;
    }

    it("keeps the temporary files of replacements in progress", async () => {
        expect(await replaceErrorsWhileOpening(folder => FolderDisk.createWithoutCleanup(folder))).to.deep.equal([]);
    });

    it("loses the temporary files of an earlier process only when opened with cleanup", async () => {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "disk-"));
        await fs.writeFile(path.join(folder, "identity.json.17"), "");
        await FolderDisk.createWithoutCleanup(folder);
        expect(await fs.readdir(folder)).to.deep.equal(["identity.json.17"]);
        await FolderDisk.create(folder);
        expect(await fs.readdir(folder)).to.deep.equal([]);
        await fs.rm(folder, { recursive: true });
    });
});
