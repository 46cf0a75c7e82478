import { expect } from "chai";
import { MemoryDisk } from "../../../state/index.js";
import { Link } from "../../../transport/index.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../../utils/index.js";
import { AgreementReplica, FixedPeers, initialiseDataFolder } from "../index.js";
import type { Envelope } from "../message.js";
import { openFolder } from "../startup.js";
import { commandOf, Group, KeyList, pollUntilDefined, shortTiming } from "./group.js";

class RecordingLink extends Link {
    readonly sent: unknown[] = [];

    override request(): Promise<never> {
        return Promise.reject(new Error("only messages are sent"));
    }

    override send(body: unknown): void {
        this.sent.push(body);
    }

    override close(): void {}
}

async function identityOn(disk: MemoryDisk, name: string): Promise<string> {
    const opened = await openFolder(disk, name, {}, SeededRandomness.create(1), createSilentLogger());
    await opened.storage.close();
    return opened.identity.identity;
}

describe("a data folder", () => {
    it("keeps its identity whenever power is lost during a compaction of the log", async () => {
        // If a compaction rewrote the log before the snapshot that covers the removed entries exists, a power cut in between
        // would cost the voter its identity.
        const disk = MemoryDisk.create();
        const crashedDisks: MemoryDisk[] = [];
        const replace = disk.replace.bind(disk);
        disk.replace = async (name, bytes) => {
            await replace(name, bytes);
            crashedDisks.push(disk.crash());
        };
        const group = await Group.create(["a"], { compaction: { after: 3, keep: 1 } }, async () => disk);
        for (let index = 0; index < 10; index += 1) {
            await group.propose(`key-${index}`);
        }
        await group.close();
        expect(crashedDisks.length).to.be.greaterThan(6);
        // The first two replacements initialise the folder, and the identity file is the second of them.
        for (const crashed of crashedDisks.slice(2)) {
            expect(await identityOn(crashed, "a")).to.equal("a#test");
        }
    });

    it("with another host's log isn't trusted", async () => {
        // A folder restored from a copy of another host's folder could let one voter vote twice.
        const [one, other] = [MemoryDisk.create(), MemoryDisk.create()];
        await initialiseDataFolder(one, "test", "a", ["a", "b"]);
        await initialiseDataFolder(other, "test", "b", ["a", "b"]);
        await other.replace("log", (await one.read("log"))!);
        expect(await identityOn(other, "b")).to.not.equal("b#test");
    });
});

describe("a replica on a host whose disk was lost", () => {
    it("ignores messages to its previous identity", async () => {
        // The new replica doesn't know the votes of the one that ran on the host before. If it answered vote requests sent to
        // the old identity, two leaders could be elected in one term.
        const link = new RecordingLink();
        const disk = MemoryDisk.create();
        const replica = await AgreementReplica.create({
            name: "a",
            disk,
            peers: FixedPeers.create(new Map([["b", link]])),
            stateMachine: KeyList.create(),
            timing: shortTiming,
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(1),
            logger: createSilentLogger(),
        });
        await pollUntilDefined("a request to join", async () => link.sent.length > 0 ? true : undefined);
        const request = {
            kind: "requestVote" as const,
            term: 9,
            last: { index: 9, term: 8 },
            trial: false,
            handover: true,
        };
        const sendVoteRequest = (to: string): void => {
            const envelope: Envelope = { cluster: "test", to, body: request };
            replica.receive("b#test", envelope);
        };
        sendVoteRequest("a#test");
        expect(replica.currentStatus().term).to.equal(0);
        sendVoteRequest(replica.currentStatus().identity);
        expect(replica.currentStatus().term).to.equal(9);
        expect((await replica.propose(commandOf("x"), 50)).kind).to.equal("notLeader");
        await replica.stopWithoutHandover();
    });
});
