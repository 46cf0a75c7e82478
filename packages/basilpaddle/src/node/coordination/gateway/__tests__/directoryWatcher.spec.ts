import { expect } from "chai";
import type { ServerAnnouncement } from "../../../protocol/index.js";
import { unhandledRejectionsIn } from "../../../utils/__tests__/unhandledRejections.js";
import { createSilentLogger, SystemClock } from "../../../utils/index.js";
import { DirectoryWatcher } from "../directoryWatcher.js";
import { FakeDirectories, until } from "./fakeDirectories.js";
import { announced } from "./fakes.js";

const names = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];

describe("DirectoryWatcher", () => {
    let directories: FakeDirectories;
    let watcher: DirectoryWatcher | undefined;
    let documents: number[];
    let received: ServerAnnouncement[];

    beforeEach(() => {
        directories = FakeDirectories.create(names);
        documents = [];
        received = [];
    });

    afterEach(() => watcher?.close());

    function watch(seeds: readonly string[]): DirectoryWatcher {
        watcher = DirectoryWatcher.create({
            name: "gateway",
            observer: false,
            failureDomain: "b",
            seeds: () => seeds,
            network: directories,
            clock: SystemClock.create(),
            logger: createSilentLogger(),
            onAnnounced: server => received.push(server),
            onCrashes: () => undefined,
            knownCrashes: () => [],
            onDocument: version => documents.push(version),
        });
        return watcher;
    }

    it("discovers all directories from one, and reports a majority only once it reaches one", async () => {
        directories.all[1]!.reachable = false;
        directories.all[2]!.reachable = false;
        const created = watch(names.slice(0, 1));
        await until(() => created.gateways() === 2);
        expect(created.reachesMajority()).to.equal(false);
        directories.all[2]!.reachable = true;
        await until(() => created.reachesMajority());
    });

    // Guards against a gateway that loses everything a directory reports for a single entry that it can't read.
    it("applies the rest of an update with an entry that can't be read", async () => {
        const sound = announced({ id: "sound", address: "127.0.0.1:80" });
        const unreadable = ["127.0.0.1:99999", "x".repeat(500)].map(address => ({ ...sound, id: address, address }));
        directories.all[0]!.announced = [{ ...sound, id: "" }, ...unreadable, sound];
        directories.all[0]!.version = 5;
        watch(names.slice(0, 1));
        await until(() => documents.includes(5));
        expect(new Set(received.map(({ id }) => id))).to.deep.equal(new Set(["sound"]));
    });

    // Guards against a daemon that the unreadable configuration of a single directory terminates.
    it("goes on with the other directories if one sends a configuration that can't be unpacked", async () => {
        directories.all[0]!.version = 7;
        directories.all[0]!.pack = () => Buffer.from("no archive");
        directories.all[1]!.version = 5;
        const rejections = await unhandledRejectionsIn(async () => {
            watch(names);
            await until(() => documents.includes(5));
        });
        expect(rejections).to.deep.equal([]);
    });

    it("never applies an older configuration, whichever directory sends it", async () => {
        directories.all[0]!.version = 5;
        directories.all[1]!.version = 3;
        directories.all[2]!.version = 4;
        watch(names);
        await until(() => documents.includes(5));
        directories.all[1]!.version = 4;
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(documents).to.deep.equal([...documents].sort((one, other) => one - other));
        expect(documents.at(-1)).to.equal(5);
    });

    // Guards against a gateway that starts with the configuration of a directory that was cut off, or goes back to it.
    it("applies the newest configuration of the first answers only", async () => {
        directories.all[0]!.version = 3;
        directories.all[1]!.version = 4;
        directories.all[2]!.version = 5;
        watch(names);
        await until(() => documents.length > 0);
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(documents).to.deep.equal([5]);
    });

    // Guards against a gateway that stays on an old configuration although other directories announce a newer one: the
    // directory in its failure domain, which sends it configurations, is partitioned from the group.
    it("fetches a newer configuration from another directory if the preferred one doesn't have it", async () => {
        directories.all[1]!.failureDomain = "b";
        const created = watch(names);
        await until(() => created.reachesMajority());
        directories.all[0]!.version = 9;
        await until(() => documents.includes(9));
        expect(directories.all[1]!.documentsSent).to.equal(0);
    });

    it("keeps the last known number of gateways while it reaches no directory", async () => {
        const created = watch(names);
        await until(() => created.gateways() === 2);
        directories.all.forEach(directory => {
            directory.reachable = false;
        });
        await until(() => !created.reachesMajority());
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(created.gateways()).to.equal(2);
    });

    it("uses the leader that most directories name", async () => {
        directories.all[0]!.leader = names[0]!;
        directories.all[1]!.leader = names[2]!;
        directories.all[2]!.leader = names[2]!;
        const created = watch(names);
        await until(() => created.reachesMajority() && created.leader() === names[2]);
    });
});
