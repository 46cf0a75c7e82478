import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { engines, poolTraffic, typicalPlacementRequest } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import type { ServerAnnouncement } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { PlacementService } from "../placementService.js";

/** Counts how often the list of all backend servers is read. */
class CountedInstances extends InstanceTable {
    reads = 0;

    override all(): readonly ServerAnnouncement[] {
        this.reads += 1;
        return super.all();
    }
}

function createPlacementService(instances: InstanceTable): PlacementService {
    return PlacementService.create({
        instances,
        traffic: () => poolTraffic,
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
});
