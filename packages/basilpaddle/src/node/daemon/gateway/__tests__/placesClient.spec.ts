import { expect } from "chai";
import { FakeDirectories, until } from "../../../coordination/gateway/__tests__/fakeDirectories.js";
import { demand, engines, rule } from "../../../coordination/gateway/__tests__/fakes.js";
import { DirectoryWatcher, InstanceTable } from "../../../coordination/index.js";
import { createSilentLogger, SystemClock } from "../../../utils/index.js";
import { PlacesClient } from "../placesClient.js";

const name = "127.0.0.1:1";
const open = new AbortController().signal;

describe("a gateway that asks for places", () => {
    let directories: FakeDirectories;
    let watcher: DirectoryWatcher;
    let places: PlacesClient;
    let common: Omit<Parameters<typeof PlacesClient.create>[0], "watcher">;

    beforeEach(async () => {
        directories = FakeDirectories.create([name]);
        directories.all[0]!.leader = name;
        const clock = SystemClock.create();
        const logger = createSilentLogger();
        const instances = InstanceTable.create();
        engines(1, 2).forEach(engine => instances.take(engine));
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
        places = PlacesClient.create({ ...common, watcher });
        await until(() => watcher.leader() === name);
    });

    afterEach(() => {
        places.close();
        watcher.close();
    });

    const asked = (): number => directories.all[0]!.placings.filter(placing => placing.kind === "place").length;

    it("gets them from the leader", async () => {
        expect(await places.reserve(demand("one"), open)).to.include({ decode: "by-leader", by: "leader" });
    });

    // Symptom: while the leader is frozen every first event comes a second late.
    // Sequence: the leader's host stops; each request asks it and waits for its whole patience, some of them twice.
    it("places alone when the leader is silent, and doesn't have each request find that out", async () => {
        directories.all[0]!.frozen = true;
        expect(await places.reserve(demand("one"), open)).to.include({ by: "alone" });
        const before = asked();
        const next = await Promise.all(["two", "three", "four"].map(attempt => places.reserve(demand(attempt), open)));
        expect(next.map(place => place?.kind === "placed" && place.by)).to.deep.equal(["alone", "alone", "alone"]);
        expect(asked() - before).to.be.at.most(1);
    });

    // Symptom: while a leader is away for seconds, first events come 0.4 s later at every gateway, again and again.
    // Sequence: after each pause the next request asks the leader whether it is there again, and waits for its patience.
    it("has no request wait to find out whether a silent leader is there again", async () => {
        directories.all[0]!.frozen = true;
        await places.reserve(demand("one"), open);
        const before = asked();
        for (let number = 0; number < 12; number++) {
            expect(await places.reserve(demand(`next-${number}`), open)).to.include({ by: "alone" });
            places.release(`next-${number}`, {});
            await new Promise(resolve => setTimeout(resolve, 60));
        }
        expect(asked()).to.equal(before);
        directories.all[0]!.frozen = false;
        await until(() => directories.all[0]!.placings.some(placing => placing.kind === "holdings"));
    });

    it("borrows repeats from a leader that answers, and from no other", async () => {
        expect(await places.borrowRepeat("pool")).to.equal(true);
        directories.all[0]!.frozen = true;
        expect(await places.borrowRepeat("pool")).to.equal(false);
    });

    it("asks the leader again after a while, and tells it what was placed meanwhile", async () => {
        directories.all[0]!.frozen = true;
        await places.reserve(demand("one"), open);
        directories.all[0]!.frozen = false;
        let number = 0;
        let by: string | undefined;
        while (by !== "leader") {
            number += 1;
            const place = await places.reserve(demand(`next-${number}`), open);
            by = place?.kind === "placed" ? place.by : undefined;
            places.release(`next-${number}`, {});
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const lists = directories.all[0]!.placings.filter(placing => placing.kind === "holdings");
        expect(lists.some(list => list.kind === "holdings" && list.held.some(held => held.demand.attempt === "one"))).to
            .equal(true);
    });

    // Symptom: two in three first events of the second after a loss of power everywhere are late.
    // Sequence: directories answer again, and remember all engines; every gateway has a backlog, and places it alone, each
    // at the same prefill engines; a leader is elected 0.2 s later.
    it("waits for the first leader after its start, but not for long", async () => {
        places.close();
        const [directory] = directories.all;
        directory!.leader = undefined;
        await until(() => watcher.leader() === undefined);
        places = PlacesClient.create({ ...common, watcher });
        const waiting = places.reserve(demand("one"), open);
        const since = performance.now();
        expect(await places.reserve(demand("two"), open)).to.include({ by: "alone" });
        expect(performance.now() - since).to.be.above(500);
        expect(await waiting).to.include({ by: "alone" });
        const third = places.reserve(demand("three"), open);
        directory!.leader = name;
        expect(await third).to.include({ by: "leader" });
    });

    // Symptom: after a loss of power everywhere some first events come a second after a leader was elected.
    // Sequence: demands come before there is a leader; this gateway's part of every engine is taken, and they wait here.
    it("takes what waits alone to the leader once there is one", async () => {
        directories.all[0]!.frozen = true;
        const large = { cacheTokens: 34_000 };
        await Promise.all(["one", "two"].map(attempt => places.reserve(demand(attempt, large), open)));
        const third = places.reserve(demand("three", { ...large, patienceWithin: 5_000 }), open);
        await new Promise(resolve => setTimeout(resolve, 50));
        directories.all[0]!.frozen = false;
        expect(await third).to.include({ decode: "by-leader", by: "leader" });
    });

    it("takes the demand of a caller back who has gone", async () => {
        const caller = new AbortController();
        directories.all[0]!.frozen = true;
        const reserved = places.reserve(demand("one"), caller.signal);
        caller.abort();
        expect(await reserved).to.equal(undefined);
        expect(directories.all[0]!.placings.at(-1)).to.deep.equal({ kind: "withdraw", attempt: "one" });
    });
});
