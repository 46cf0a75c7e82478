import { expect } from "chai";
import { FakeDirectories, until } from "../../../coordination/gateway/__tests__/fakeDirectories.js";
import { engines, rule, typicalPlacementRequest } from "../../../coordination/gateway/__tests__/fakes.js";
import { DirectoryWatcher, InstanceTable } from "../../../coordination/index.js";
import { createSilentLogger, SystemClock } from "../../../utils/index.js";
import { PlacementClient } from "../placementClient.js";

const name = "127.0.0.1:1";
const neverAborted = new AbortController().signal;

describe("the placement client of a gateway", () => {
    let directories: FakeDirectories;
    let watcher: DirectoryWatcher;
    let placements: PlacementClient;
    let common: Omit<Parameters<typeof PlacementClient.create>[0], "watcher">;

    beforeEach(async () => {
        directories = FakeDirectories.create([name]);
        directories.all[0]!.leader = name;
        const clock = SystemClock.create();
        const logger = createSilentLogger();
        const instances = InstanceTable.create();
        engines(1, 2).forEach(engine => instances.apply(engine));
        watcher = DirectoryWatcher.create({
            name: "gateway",
            observer: false,
            failureDomain: "a",
            seeds: () => [name],
            network: directories,
            clock,
            logger,
            onAnnounced: () => undefined,
            onCrashes: () => undefined,
            knownCrashes: () => [],
        });
        common = { name: "gateway", instances, engineRule: () => rule, calls: () => [], clock, logger };
        placements = PlacementClient.create({ ...common, watcher });
        await until(() => watcher.leader() === name);
    });

    afterEach(() => {
        placements.close();
        watcher.close();
    });

    const placementRequests = (): number =>
        directories.all[0]!.placementMessages.filter(placing => placing.kind === "place").length;

    it("gets placements from the leader", async () => {
        expect(await placements.requestPlacement(typicalPlacementRequest("one"), neverAborted)).to.include({
            decode: "by-leader",
            by: "leader",
        });
    });

    // Guards against first events that are a second late while the leader is frozen: its host stops, and each request waits
    // for the whole timeout, some of them twice.
    it("places locally if the leader doesn't answer, and lets only one request time out", async () => {
        directories.all[0]!.frozen = true;
        expect(await placements.requestPlacement(typicalPlacementRequest("one"), neverAborted)).to.include({
            by: "alone",
        });
        const before = placementRequests();
        const next = await Promise.all(
            ["two", "three", "four"].map(attempt =>
                placements.requestPlacement(typicalPlacementRequest(attempt), neverAborted)
            ),
        );
        expect(next.map(grant => grant?.kind === "placed" && grant.by)).to.deep.equal(["alone", "alone", "alone"]);
        expect(placementRequests() - before).to.be.at.most(1);
    });

    // Guards against first events that are 0.4 s late, repeatedly and at every gateway, while a leader is unresponsive for seconds:
    // after each interval the next request was used to check whether the leader answered again, and waited for the timeout.
    it("doesn't use requests to check whether an unresponsive leader answers again", async () => {
        directories.all[0]!.frozen = true;
        await placements.requestPlacement(typicalPlacementRequest("one"), neverAborted);
        const before = placementRequests();
        for (let number = 0; number < 12; number++) {
            expect(await placements.requestPlacement(typicalPlacementRequest(`next-${number}`), neverAborted)).to
                .include({
                    by: "alone",
                });
            placements.release(`next-${number}`, {});
            await new Promise(resolve => setTimeout(resolve, 60));
        }
        expect(placementRequests()).to.equal(before);
        directories.all[0]!.frozen = false;
        await until(() => directories.all[0]!.placementMessages.some(placing => placing.kind === "holdings"));
    });

    it("reports the writing of a run while it lasts and with its release, each part once", async () => {
        await placements.requestPlacement(typicalPlacementRequest("one"), neverAborted);
        const reports = [{ events: 20, milliseconds: 900 }, undefined, { events: 5, milliseconds: 210 }];
        placements.observeWriting("one", () => reports.shift());
        const messages = directories.all[0]!.placementMessages;
        await until(() => messages.filter(message => message.kind === "holdings").length >= 2);
        placements.release("one", {});
        await until(() => messages.some(message => message.kind === "release"));
        const writings = messages.flatMap(message => {
            return message.kind === "holdings"
                ? message.held.map(({ writing }) => writing)
                : message.kind === "release"
                ? [message.end.writing]
                : [];
        });
        expect(writings.slice(0, 3)).to.deep.equal([
            { events: 20, milliseconds: 900 },
            undefined,
            { events: 5, milliseconds: 210 },
        ]);
    });

    it("borrows retries only from a leader that answers", async () => {
        expect(await placements.borrowRetry("pool")).to.equal(true);
        directories.all[0]!.frozen = true;
        expect(await placements.borrowRetry("pool")).to.equal(false);
    });

    it("returns to the leader after a while, and reports what was placed in the meantime", async () => {
        directories.all[0]!.frozen = true;
        await placements.requestPlacement(typicalPlacementRequest("one"), neverAborted);
        directories.all[0]!.frozen = false;
        let number = 0;
        let by: string | undefined;
        while (by !== "leader") {
            number += 1;
            const grant = await placements.requestPlacement(typicalPlacementRequest(`next-${number}`), neverAborted);
            by = grant?.kind === "placed" ? grant.by : undefined;
            placements.release(`next-${number}`, {});
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const reports = directories.all[0]!.placementMessages.filter(placing => placing.kind === "holdings");
        expect(reports.some(list => list.kind === "holdings" && list.held.some(held => held.demand.attempt === "one")))
            .to
            .equal(true);
    });

    // Guards against late first events after a power loss of the whole deployment; two in three were late in the second after
    // it. Directories answer again and know all engines; every gateway has a backlog and places it locally, all on the same
    // prefill engines, and a leader is elected only 0.2 s later.
    it("waits for the first leader after its start, but only for a limited time", async () => {
        placements.close();
        const [directory] = directories.all;
        directory!.leader = undefined;
        await until(() => watcher.leader() === undefined);
        placements = PlacementClient.create({ ...common, watcher });
        const waiting = placements.requestPlacement(typicalPlacementRequest("one"), neverAborted);
        const startedAt = performance.now();
        expect(await placements.requestPlacement(typicalPlacementRequest("two"), neverAborted)).to.include({
            by: "alone",
        });
        expect(performance.now() - startedAt).to.be.above(500);
        expect(await waiting).to.include({ by: "alone" });
        const third = placements.requestPlacement(typicalPlacementRequest("three"), neverAborted);
        directory!.leader = name;
        expect(await third).to.include({ by: "leader" });
    });

    // Guards against first events that come a second after a leader was elected, as seen after a power loss of the whole
    // deployment: requests arrived before there was a leader, and waited here since this gateway's share of every engine was
    // used up.
    it("sends requests that wait for a local placement to the leader once there is one", async () => {
        directories.all[0]!.frozen = true;
        const large = { cacheTokens: 34_000 };
        await Promise.all(
            ["one", "two"].map(attempt =>
                placements.requestPlacement(typicalPlacementRequest(attempt, large), neverAborted)
            ),
        );
        const third = placements.requestPlacement(
            typicalPlacementRequest("three", { ...large, patienceWithin: 5_000 }),
            neverAborted,
        );
        await new Promise(resolve => setTimeout(resolve, 50));
        directories.all[0]!.frozen = false;
        expect(await third).to.include({ decode: "by-leader", by: "leader" });
    });

    it("withdraws the request of a caller that disconnects", async () => {
        const caller = new AbortController();
        directories.all[0]!.frozen = true;
        const placement = placements.requestPlacement(typicalPlacementRequest("one"), caller.signal);
        caller.abort();
        expect(await placement).to.equal(undefined);
        expect(directories.all[0]!.placementMessages.at(-1)).to.deep.equal({ kind: "withdraw", attempt: "one" });
    });
});
