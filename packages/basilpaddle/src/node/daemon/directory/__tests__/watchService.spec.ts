import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { ManualProcess } from "../../../../../../../simulation/manualProcess.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { Announcements, QuarantinedRequests } from "../../../coordination/index.js";
import { quarantineRulesSchema } from "../../../protocol/index.js";
import { type Clock, createSilentLogger } from "../../../utils/index.js";
import { noLimits } from "../allowanceService.js";
import { noServerLimits } from "../serverLimitService.js";
import { WatchService } from "../watchService.js";

function createServiceWithGateways(previousGateways: number, clock: ManualClock): WatchService {
    return createService(previousGateways, clock, Announcements.create(1_000));
}

function createQuarantinedRequests(clock: ManualClock): QuarantinedRequests {
    return QuarantinedRequests.create({
        rules: quarantineRulesSchema.parse({}),
        publishRecords: () => undefined,
        clock,
        logger: createSilentLogger(),
    });
}

function createService(
    previousGateways: number,
    clock: ManualClock,
    announcements: Announcements,
    quarantined = createQuarantinedRequests(clock),
    activeClock: Clock = clock,
): WatchService {
    return WatchService.create({
        incarnation: "one",
        failureDomain: "a",
        announcements,
        quarantined,
        document: () => ({ version: 1, content: "{}" }),
        members: () => ({ members: [], leader: undefined }),
        ejected: () => [],
        serverLimits: () => noServerLimits,
        limits: () => noLimits,
        previousGateways,
        clock,
        activeClock,
    });
}

async function gatewayCountOf(
    watchService: WatchService,
): Promise<{ readonly gateways: number; readonly settled: boolean; }> {
    const watch = {
        kind: "watch",
        gateway: "g",
        version: -1,
        incarnation: "",
        cursor: 0,
        wantsDocument: false,
    } as const;
    const { gateways, gatewaysSettled = false } = await watchService.watch({ ...watch, observer: false });
    return { gateways, settled: gatewaysSettled };
}

// Guards against requests refused for lack of retries in the seconds after a power loss of the whole deployment: restarted
// directories counted only the gateways that had reconnected so far, which is too low a number.
describe("the count of gateways after a restart", () => {
    it("is the previous one until all gateways have had time to reconnect", async () => {
        const clock = new ManualClock();
        const watchService = createServiceWithGateways(9, clock);
        expect(await gatewayCountOf(watchService)).to.deep.equal({ gateways: 9, settled: true });
        clock.freeze(10_000);
        expect(await gatewayCountOf(watchService)).to.deep.equal({ gateways: 1, settled: true });
    });

    it("is unreliable at first if no previous count is known", async () => {
        const clock = new ManualClock();
        const watchService = createServiceWithGateways(0, clock);
        expect(await gatewayCountOf(watchService)).to.deep.equal({ gateways: 1, settled: false });
        clock.freeze(10_000);
        expect(await gatewayCountOf(watchService)).to.deep.equal({ gateways: 1, settled: true });
    });
});

// Guards against an outage of half a minute after all processes were killed, with a thousand backend servers. After the
// restart the first heartbeat of each server was a change that woke and answered the watches of all gateways: the answers
// grew with servers times gateways, and left no time for anything else.
describe("watches of many gateways", () => {
    it("are answered a few times a second, however many servers announce themselves, and at once for a single one", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const watchService = createService(0, clock, announcements);
        const answers = countAnswers(watchService, clock, 40, 0);
        await clock.advance(10);
        answers.count = 0;
        await announceMany(watchService, announcements, clock, 60, 10);
        expect(answers.count).to.be.at.most(40 * 8);
        expect(answers.count).to.be.at.least(40 * 2);
        await clock.advance(300);
        answers.count = 0;
        const before = clock.monotonic();
        announcements.apply(announced({ id: "single" }), before);
        watchService.notifyWatchers();
        await clock.advance(0);
        expect(answers.count).to.equal(40);
        expect(answers.lastAt).to.equal(before);
    });

    // Announcements are more frequent than round trips, so that each gateway finds the next change when it watches again.
    it("aren't answered more often when they return to a pending change than when they wait for one", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const watchService = createService(0, clock, announcements);
        const answers = countAnswers(watchService, clock, 40, 2);
        await clock.advance(10);
        answers.count = 0;
        await announceMany(watchService, announcements, clock, 600, 1);
        expect(answers.count).to.be.at.most(40 * 8);
        expect(answers.count).to.be.at.least(40 * 2);
    });

    // Guards against requests that are sent to a backend server that has left, or refused although one is available, for up
    // to 0.1 s in a deployment of a few hosts: a few gateways were throttled as much as hundreds have to be.
    it("are answered almost immediately if there are few", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const watchService = createService(0, clock, announcements);
        const answers = countAnswers(watchService, clock, 2, 0);
        await clock.advance(10);
        answers.count = 0;
        await announceMany(watchService, announcements, clock, 60, 10);
        expect(answers.count).to.equal(2 * 60);
    });

    it("are answered immediately for a gateway that has just restarted", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const watchService = createService(0, clock, announcements);
        countAnswers(watchService, clock, 40, 0);
        await clock.advance(10);
        announcements.apply(announced({ id: "new" }), clock.monotonic());
        watchService.notifyWatchers();
        await clock.advance(1);
        const restartedWatch = { kind: "watch", gateway: "g-1", version: -1, incarnation: "", cursor: 0 } as const;
        const { announced: announcedServers } = await watchService.watch({
            ...restartedWatch,
            wantsDocument: false,
            observer: false,
        });
        expect(announcedServers.map(({ id }) => id)).to.deep.equal(["new"]);
    });
});

type CountedAnswers = { count: number; lastAt: number; };

/** Makes gateways watch repeatedly and counts the answers. `delay`: milliseconds from an answer to the next watch. */
function countAnswers(watchService: WatchService, clock: ManualClock, gateways: number, delay: number): CountedAnswers {
    const answers = { count: 0, lastAt: 0 };
    const watchRepeatedly = async (gateway: string): Promise<void> => {
        for (let cursor = 0, incarnation = ""; clock.monotonic() < 3_000;) {
            const request = { kind: "watch", gateway, version: 1, incarnation, cursor, wantsDocument: false } as const;
            ({ cursor, incarnation } = await watchService.watch({ ...request, observer: false }));
            answers.count += 1;
            answers.lastAt = clock.monotonic();
            if (delay > 0) {
                await new Promise<void>(resolve => clock.after(delay, resolve));
            }
        }
    };
    Array.from({ length: gateways }, (_, number) => void watchRepeatedly(`g-${number}`));
    return answers;
}

/** Announces `count` backend servers, `gap` milliseconds apart. */
async function announceMany(
    watchService: WatchService,
    announcements: Announcements,
    clock: ManualClock,
    count: number,
    gap: number,
): Promise<void> {
    for (let number = 0; number < count; number++) {
        announcements.apply(announced({ id: `i-${number}` }), clock.monotonic());
        watchService.notifyWatchers();
        await clock.advance(gap);
    }
}

describe("crash records in the answers to watchers", () => {
    it("are sent once two servers have crashed: only the missing ones, and all of them to a new watcher", async () => {
        const clock = new ManualClock();
        const quarantined = createQuarantinedRequests(clock);
        const watchService = createService(1, clock, Announcements.create(1_000), quarantined);
        const watch = {
            kind: "watch",
            gateway: "g",
            version: 1,
            cursor: 0,
            wantsDocument: false,
            observer: false,
        } as const;
        quarantined.addCrash("single", { server: "s1", phase: "early", age: 0 });
        quarantined.addCrash("both", { server: "s1", phase: "early", age: 0 });
        quarantined.addCrash("both", { server: "s2", phase: "early", age: 0 });
        const first = await watchService.watch({ ...watch, incarnation: "" });
        expect(first.crashes?.map(({ digest }) => digest)).to.deep.equal(["both"]);
        quarantined.addCrash("both", { server: "s3", phase: "early", age: 0 });
        const next = await watchService.watch({ ...watch, incarnation: "one", crashCursor: first.crashCursor });
        expect(next.crashes?.[0]?.crashes).to.have.length(3);
        const later = watchService.watch({ ...watch, incarnation: "one", crashCursor: next.crashCursor });
        await clock.advance(1_200);
        expect((await later).crashes).to.equal(undefined);
    });
});

describe("gateways whose watches aren't read", () => {
    const watch = { kind: "watch", version: 1, incarnation: "", cursor: 0, wantsDocument: false } as const;
    const createWatched = (process: ManualProcess, names: readonly string[]): WatchService => {
        const { host, clock } = process;
        const announcements = Announcements.create(1_000);
        const service = createService(0, host, announcements, createQuarantinedRequests(host), clock);
        names.forEach(gateway => void service.watch({ ...watch, gateway, observer: false }));
        return service;
    };

    // Guards against a leader that frees the engines' places of all runs, and against gateways that each take a whole budget, just
    // after their directory stood still.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`stay connected for a standstill of ${milliseconds} ms of their directory`, async () => {
            const process = new ManualProcess();
            const service = createWatched(process, ["a", "b", "c"]);
            await process.run(2_700);
            await process.standStill(milliseconds);
            expect(service.gatewayNames()).to.deep.equal(["a", "b", "c"]);
            const answer = service.watch({ ...watch, gateway: "a", observer: false });
            expect((await answer).gateways).to.equal(3);
            await process.run(1_000);
            expect(service.gatewayNames()).to.deep.equal(["a"]);
        });
    }

    // Guards against a server that stops after a leave call which no gateway could learn of.
    it("don't count for calls of servers that leave, until they have sent a watch", async () => {
        const process = new ManualProcess();
        const service = createWatched(process, ["a"]);
        expect(service.hasRecentWatch()).to.equal(true);
        await process.standStill(3_020);
        expect(service.hasRecentWatch()).to.equal(false);
        void service.watch({ ...watch, gateway: "a", observer: false });
        expect(service.hasRecentWatch()).to.equal(true);
    });
});
