import { expect } from "chai";
import { ManualProcess } from "../../../../../../../simulation/manualProcess.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { createSilentLogger } from "../../../utils/index.js";
import { BackendServerRegistry } from "../backendServerRegistry.js";

function createRegistry(
    name: string,
    onAnnouncementsChanged = (): void => undefined,
    process = new ManualProcess(),
): BackendServerRegistry {
    return BackendServerRegistry.create({
        name,
        heartbeat: 1_000,
        clock: process.host,
        activeClock: process.clock,
        logger: createSilentLogger(),
        onAnnouncementsChanged,
        onInstancesChanged: () => undefined,
        onFirstHeard: () => undefined,
    });
}

// Guards against requests refused with "no backend server is known" for half a second after a power loss of the whole
// deployment. One plain server was left, which sent its heartbeats to one of three directories; the two others started first,
// and gateways took their configuration from these. Each directory had stored only servers with heartbeats to itself.
describe("backend servers that a directory keeps across a restart", () => {
    it("include those known from other directories, so that the first directory to start knows them", () => {
        const registry = createRegistry("d-1");
        registry.announce(announced({ id: "own" }));
        registry.applyRemoteAnnouncement(announced({ id: "elsewhere" }), "d-2");
        registry.applyRemoteAnnouncement(announced({ id: "gone", state: "silent" }), "d-2");
        registry.applyRemoteAnnouncement(announced({ id: "left", state: "left" }), "d-2");
        expect(registry.serversForRestart().map(({ id, state }) => [id, state])).to.deep.equal([
            ["own", "ready"],
            ["left", "left"],
            ["elsewhere", "ready"],
        ]);
    });

    // Guards against every directory sending a thousand servers to every gateway after a restart of all directories.
    it("include at most a hundred known from other directories, a different hundred at each directory", () => {
        const storedIds = ["d-1", "d-2"].map(name => {
            const registry = createRegistry(name);
            for (let number = 0; number < 1_000; number++) {
                registry.applyRemoteAnnouncement(
                    announced({ id: `i-${number}`, address: `10.0.0.1:${number}` }),
                    "d-2",
                );
            }
            return new Set(registry.serversForRestart().map(({ id }) => id));
        });
        expect(storedIds.map(({ size }) => size)).to.deep.equal([100, 100]);
        expect(new Set(storedIds.flatMap(ids => [...ids])).size).to.be.at.least(180);
    });

    // Guards against a server that no directory knows after a restart, because its heartbeats had moved from one directory to
    // another: the first one found it silent and dropped it, and the second one, whose known state of the server hadn't
    // changed, didn't write its restart cache.
    it("are reported as changed when a known server moves its heartbeats to this directory", () => {
        let changes = 0;
        const registry = createRegistry("d-1", () => {
            changes += 1;
        });
        registry.applyRemoteAnnouncement(announced({ id: "i", sequence: 4 }), "d-2");
        expect(changes).to.equal(0);
        registry.announce(announced({ id: "i", sequence: 5 }));
        expect(changes).to.equal(1);
        expect(registry.announcements.restartCacheEntries().map(({ id }) => id)).to.deep.equal(["i"]);
    });
});

describe("a leave call of a backend server that a directory doesn't know", () => {
    const second = announced({ id: "i@2", name: "i", startedAt: 2 });

    // Guards against work for a server whose call reached a directory that has just lost its disk.
    it("holds for the incarnation that becomes known next, if it names none", () => {
        const registry = createRegistry("d-1");
        registry.leave({ name: "i" });
        registry.announce(second);
        expect(registry.instances.usable("pool")).to.deep.equal([]);
    });

    // Guards against a sound server without work because the end of its previous incarnation became known first.
    it("doesn't hold for a later incarnation than the one that it names", () => {
        const registry = createRegistry("d-1");
        expect(registry.leave({ name: "i", startedAt: 1 })).to.include({ id: "i@1", state: "left" });
        registry.announce(second);
        expect(registry.instances.usable("pool").map(({ id }) => id)).to.deep.equal(["i@2"]);
    });
});

describe("backend servers whose heartbeats aren't read", () => {
    const stateAfterReview = (registry: BackendServerRegistry): string | undefined => {
        registry.markSilentServers();
        return registry.announcements.get("i")?.state;
    };

    // Guards against sound servers that get no work since their directory stood still and hasn't read their heartbeats yet.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`aren't silent for a standstill of ${milliseconds} ms of their directory`, async () => {
            const process = new ManualProcess();
            const registry = createRegistry("d-1", undefined, process);
            registry.announce(announced({ id: "i", sequence: 1 }));
            await process.run(2_600);
            await process.standStill(milliseconds);
            expect(stateAfterReview(registry)).to.equal("ready");
            await process.run(240);
            expect(stateAfterReview(registry)).to.equal("ready");
            registry.announce(announced({ id: "i", sequence: 2 }));
            await process.run(2_980);
            expect(stateAfterReview(registry)).to.equal("ready");
        });
    }

    it("are silent once their directory has run for three heartbeats, before and after its standstill", async () => {
        const process = new ManualProcess();
        const registry = createRegistry("d-1", undefined, process);
        registry.announce(announced({ id: "i", sequence: 1 }));
        await process.run(2_000);
        await process.standStill(5_000);
        await process.run(1_240);
        expect(stateAfterReview(registry)).to.equal("ready");
        await process.run(80);
        expect(stateAfterReview(registry)).to.equal("silent");
    });

    it("aren't silent for a standstill of their directory after its restart", async () => {
        const process = new ManualProcess();
        const registry = createRegistry("d-1", undefined, process);
        registry.restore([announced({ id: "i", sequence: 1 })]);
        await process.run(1_000);
        await process.standStill(1_500);
        expect(stateAfterReview(registry)).to.equal("ready");
        await process.run(1_340);
        expect(stateAfterReview(registry)).to.equal("silent");
    });
});
