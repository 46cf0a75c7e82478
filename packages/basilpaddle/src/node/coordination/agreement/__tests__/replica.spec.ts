import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { FolderDisk, MemoryDisk } from "../../../state/index.js";
import { initialiseDataFolder } from "../index.js";
import { commandOf, Group, pollUntilDefined } from "./group.js";

describe("AgreementReplica", () => {
    let group: Group;
    const folders: string[] = [];

    afterEach(async () => {
        await group.close();
        await Promise.all(folders.splice(0).map(folder => fs.rm(folder, { recursive: true })));
    });

    async function folderDisk(): Promise<FolderDisk> {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "agreement-"));
        folders.push(folder);
        return FolderDisk.create(folder);
    }

    async function expectKeysAtAll(keys: readonly string[]): Promise<void> {
        for (const name of group.replicas.keys()) {
            await pollUntilDefined(`${keys.length} keys at ${name}`, async () => {
                return group.keysAt(name).length >= keys.length ? true : undefined;
            });
            expect(group.keysAt(name)).to.deep.equal(keys);
        }
    }

    it("applies commands in the same order at all replicas, in memory", async () => {
        group = await Group.create(["a", "b", "c"]);
        await group.propose("one");
        await group.propose("two");
        await expectKeysAtAll(["one", "two"]);
    });

    // After all replicas lost power, each restarts with the whole log, but doesn't know from it which entries are committed.
    // Requests would have to wait for an election before any configuration is in force.
    it("applies at startup the entries that it knew to be committed before a restart", async () => {
        let committedPosition = { index: 0, term: 0 };
        group = await Group.create(["a", "b", "c"], {
            committed: identity => identity === "a#test" ? committedPosition : undefined,
        });
        await group.propose("one");
        await group.propose("two");
        await expectKeysAtAll(["one", "two"]);
        const { committedIndex: index, committedTerm: term } = group.replicas.get("a")!.currentStatus();
        const restarted = async (position: typeof committedPosition): Promise<readonly string[]> => {
            committedPosition = position;
            for (const name of [...group.replicas.keys()]) {
                await group.kill(name);
            }
            await group.start("a");
            return group.keysAt("a");
        };
        expect(await restarted({ index, term })).to.deep.equal(["one", "two"]);
        expect(await restarted({ index, term: term + 1 }), "another entry").to.deep.equal([]);
        expect(await restarted({ index: index + 5, term }), "beyond the log").to.deep.equal([]);
    });

    it("names the leader when a proposal is made to another replica", async () => {
        group = await Group.create(["a", "b", "c"]);
        const leader = await group.leader();
        const other = group.names.find(name => name !== leader)!;
        await pollUntilDefined(
            "leader known to the other replica",
            async () => group.replicas.get(other)!.currentStatus().leader,
        );
        expect(await group.replicas.get(other)!.propose(commandOf("x"), 100)).to.deep.equal({
            kind: "notLeader",
            leader,
        });
    });

    it("works as a group of one", async () => {
        group = await Group.create(["a"]);
        await group.propose("one");
        await expectKeysAtAll(["one"]);
    });

    it("keeps all entries through a restart of all replicas, on disk", async () => {
        group = await Group.create(["a", "b", "c"], { compaction: { after: 5, keep: 2 } }, folderDisk);
        const keys = Array.from({ length: 12 }, (_, index) => `key-${index}`);
        for (const key of keys) {
            await group.propose(key);
        }
        for (const name of group.names) {
            await group.kill(name);
        }
        for (const name of group.names) {
            await group.start(name);
        }
        await group.propose("last");
        await expectKeysAtAll([...keys, "last"]);
    });

    it("continues after its leader is killed, and the killed replica catches up by snapshot", async () => {
        group = await Group.create(["a", "b", "c"], { compaction: { after: 5, keep: 2 } });
        await group.propose("one");
        const killed = await group.leader();
        await group.kill(killed);
        const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`);
        for (const key of keys) {
            await group.propose(key);
        }
        await group.start(killed);
        await expectKeysAtAll(["one", ...keys]);
    });

    it("adds a voter with a lost disk again as a learner, and then tolerates the loss of another host", async () => {
        // A voter whose disk was lost comes back empty. If it voted under its old identity, it could form a quorum with a
        // lagging voter, and a committed entry would be lost.
        group = await Group.create(["a", "b", "c"]);
        await group.propose("one");
        const leader = await group.leader();
        const [lost, second] = group.names.filter(name => name !== leader);
        await group.kill(lost!);
        await group.propose("two");
        await group.start(lost!, MemoryDisk.create());
        const identity = group.replicas.get(lost!)!.currentStatus().identity;
        expect(identity).not.to.equal(`${lost}#test`);
        await pollUntilDefined("membership with the new identity", async () => {
            const { voters } = group.replicas.get(leader)!.currentStatus();
            return voters.length === 3 && voters.includes(identity) ? true : undefined;
        });
        await group.kill(second!);
        await group.propose("three");
        await expectKeysAtAll(["one", "two", "three"]);
    });

    it("gives a voter whose log is damaged a new identity, and renames the damaged files", async () => {
        // One byte of the log is corrupted. An accepted change would be lost if the voter started with the remaining entries
        // and voted as before.
        group = await Group.create(["a", "b", "c"]);
        await group.propose("one");
        const damaged = group.names.find(name => !group.replicas.get(name)!.currentStatus().leading)!;
        await group.kill(damaged);
        const disk = group.disks.get(damaged)!;
        const bytes = Buffer.from((await disk.read("log"))!);
        bytes[20] = bytes[20]! ^ 1;
        await disk.replace("log", bytes);
        await group.start(damaged);
        const { identity, voting } = group.replicas.get(damaged)!.currentStatus();
        expect([identity === `${damaged}#test`, voting]).to.deep.equal([false, false]);
        expect((await disk.list()).some(file => /^untrusted-.*-log$/.test(file))).to.equal(true);
        await expectKeysAtAll(["one"]);
    });

    it("stops when its disk fails, and doesn't acknowledge entries that it couldn't write", async () => {
        // After a failed sync the kernel drops the pages that it couldn't write, so the next sync succeeds. A replica that
        // continued would lose an accepted change.
        const failures: unknown[] = [];
        let failing = false;
        const disk = MemoryDisk.create();
        const open = disk.open.bind(disk);
        disk.open = async (name, length) => {
            const file = await open(name, length);
            const sync = file.sync.bind(file);
            file.sync = () => failing ? Promise.reject(new Error("input/output error")) : sync();
            return file;
        };
        group = await Group.create(["a"], { onFailure: error => failures.push(error) }, async () => disk);
        await group.propose("one");
        failing = true;
        const proposal = await group.replicas.get("a")!.propose(commandOf("two"), 5_000);
        expect(proposal.kind).to.equal("undecided");
        failing = false;
        expect((await group.replicas.get("a")!.propose(commandOf("three"), 100)).kind).to.equal("notLeader");
        expect([failures.length, group.machines.get("a")!.keys]).to.deep.equal([1, ["one"]]);
    });

    it("isn't initialised in a folder that isn't empty", async () => {
        // Initialising a host again after its identity file was lost would create an empty group beside the old one, or a
        // voter that doesn't remember its votes and entries.
        group = await Group.create(["a"]);
        const outcome = await initialiseDataFolder(group.disks.get("a")!, "test", "a", ["a"]).then(() => "", String);
        expect(outcome).to.include("isn't empty");
    });

    it("hands over leadership when it is closed", async () => {
        group = await Group.create(["a", "b", "c"]);
        await group.propose("one");
        const leader = await group.leader();
        const closing = group.replicas.get(leader)!.close();
        const next = await group.leader(leader);
        await closing;
        expect(next).not.to.equal(leader);
    });
});
