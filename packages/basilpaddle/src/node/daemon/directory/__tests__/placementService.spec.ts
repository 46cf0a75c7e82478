import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { engines, poolTraffic, route, typicalPlacementRequest } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable, PlacementQueue } from "../../../coordination/index.js";
import type { ServerAnnouncement, Traffic } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { PlacementService } from "../placementService.js";

/** Counts how often the list of all backend servers is read. */
class CountedInstances extends InstanceTable {
    reads = 0;

    override all(): readonly ServerAnnouncement[] {
        this.reads += 1;
        return super.all();
    }
}

function createPlacementService(instances: InstanceTable, traffic = (): Traffic => poolTraffic): PlacementService {
    return PlacementService.create({
        instances,
        traffic,
        onServerCalls: () => undefined,
        onIncarnationEnded: () => undefined,
        clock: new ManualClock(),
        logger: createSilentLogger(),
    }, 1);
}

async function decodeEngine(service: PlacementService, attempt: string): Promise<string> {
    const answer = await service.handle({ kind: "place", demand: typicalPlacementRequest(attempt) });
    if (answer?.kind !== "decided" || answer.decision.kind !== "placed") {
        throw new Error(`${attempt} was not placed`);
    }
    return answer.decision.decode;
}

describe("placement by the leading directory", () => {
    // Guards against refused requests ("a placed engine has ended or is unknown") while other engines have room. An engine left
    // within 50 ms after the change of another one had been applied; its own change was applied only after these 50 ms, and
    // runs were placed on it meanwhile.
    it("places nothing on an engine that has just left, even right after another engine's change", async () => {
        const instances = new CountedInstances();
        const all = engines(1, 3);
        all.forEach(engine => instances.apply(engine));
        const service = createPlacementService(instances);
        const leftIds = ["decode-0", "decode-1"];
        for (const id of leftIds) {
            instances.apply({ ...all.find(engine => engine.id === id)!, state: "left", sequence: 2 });
            service.markPoolsOutdated();
        }
        for (let number = 0; number < 6; number++) {
            expect(await decodeEngine(service, `a-${number}`)).to.equal("decode-2");
        }
        service.close();
    });

    // Guards against a new leader that is too busy to serve gateways after a restart of all directories with a thousand
    // servers: each first heartbeat iterated over every server of every pool.
    it("reads the list of backend servers once before a decision, however many have changed", async () => {
        const instances = new CountedInstances();
        const service = createPlacementService(instances);
        for (const engine of engines(200, 800)) {
            instances.apply(engine);
            service.markPoolsOutdated();
        }
        await decodeEngine(service, "a");
        await decodeEngine(service, "b");
        expect(instances.reads).to.equal(1);
        service.close();
    });

    // Guards against a leader that orders a queue by target although the configuration has several priorities, or the reverse.
    it("orders the queue of a service by priority if its routes have several", async () => {
        const routes = [0, 1].map(priority => {
            return route({ name: `r-${priority}`, priority, targets: [{ service: "pool", weight: 1 }] });
        });
        for (const [traffic, first] of [[{ ...poolTraffic, routes }, "high"], [poolTraffic, "low"]] as const) {
            const instances = new CountedInstances();
            engines(1, 1).forEach(engine => instances.apply(engine));
            const service = createPlacementService(instances, () => traffic);
            for (let number = 0; number < 9; number++) {
                await decodeEngine(service, `held-${number}`);
                await service.handle({ kind: "prefilled", attempt: `held-${number}` });
            }
            const placedAttempts: string[] = [];
            for (const [attempt, priority, targetWithin] of [["low", 1, 3_000], ["high", 0, 8_000]] as const) {
                const demand = typicalPlacementRequest(attempt, { priority, targetWithin, patienceWithin: 9_000 });
                void service.handle({ kind: "place", demand }).then(reply => {
                    if (reply?.kind === "decided" && reply.decision.kind === "placed") {
                        placedAttempts.push(attempt);
                    }
                });
            }
            await service.handle({ kind: "release", attempt: "held-0", end: {} });
            await new Promise(resolve => setImmediate(resolve));
            expect(placedAttempts).to.deep.equal([first]);
            service.close();
        }
    });

    // Guards against a new leader that takes the time of an event beside other runs for that of an empty engine.
    it("learns the speed of an engine beside the runs that are reported with it", async () => {
        const instances = InstanceTable.create();
        engines(1, 1).forEach(engine => instances.apply(engine));
        const service = createPlacementService(instances);
        const held = ["a", "b", "c"].map(attempt => ({
            demand: typicalPlacementRequest(attempt),
            decode: "decode-0",
            writing: { events: 20, milliseconds: 800 },
        }));
        const tokens: (number | undefined)[] = [];
        const { recordWriting } = PlacementQueue.prototype;
        PlacementQueue.prototype.recordWriting = function(): void {
            tokens.push(this.counts().allocated.get("decode-0"));
        };
        await service.handle({ kind: "holdings", gateway: "gateway", held });
        PlacementQueue.prototype.recordWriting = recordWriting;
        expect(tokens).to.deep.equal([12_336, 12_336, 12_336]);
        service.close();
    });

    // Guards against a metric that shows waiting requests for ever after a service has lost its second priority.
    it("reports no waiting request by priority once a service has one priority", async () => {
        const routes = [0, 1].map(priority => {
            return route({ name: `r-${priority}`, priority, targets: [{ service: "pool", weight: 1 }] });
        });
        let traffic = { ...poolTraffic, routes };
        const instances = InstanceTable.create();
        engines(1, 1).forEach(engine => instances.apply(engine));
        const service = createPlacementService(instances, () => traffic);
        const metrics = RecordedMetrics.create();
        for (let number = 0; number < 9; number++) {
            void service.handle({ kind: "place", demand: typicalPlacementRequest(`a-${number}`) });
        }
        service.measure(metrics);
        expect(metrics.text()).to.match(/placements_waiting\{rank="1",service="pool"\} [1-9]/);
        traffic = { ...poolTraffic, routes: routes.slice(0, 1) };
        service.markPoolsOutdated();
        await service.handle({ kind: "probe", gateway: "gateway" });
        service.measure(metrics);
        expect(metrics.text()).to.match(/placements_waiting\{rank="1",service="pool"\} 0/);
        service.close();
    });
});
