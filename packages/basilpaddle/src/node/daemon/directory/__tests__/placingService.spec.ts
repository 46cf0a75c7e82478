import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { demand, engines, poolTraffic } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import type { Announced } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { PlacingService } from "../placingService.js";

/** Counts how often all backend servers are looked at. */
class CountedInstances extends InstanceTable {
    looks = 0;

    override all(): readonly Announced[] {
        this.looks += 1;
        return super.all();
    }
}

function serviceOf(instances: InstanceTable): PlacingService {
    return PlacingService.create({
        instances,
        traffic: () => poolTraffic,
        onCalls: () => undefined,
        onEnded: () => undefined,
        clock: new ManualClock(),
        logger: createSilentLogger(),
    }, 1);
}

async function decodeEngine(service: PlacingService, attempt: string): Promise<string> {
    const answer = await service.handle({ kind: "place", demand: demand(attempt) });
    if (answer?.kind !== "decided" || answer.decision.kind !== "placed") {
        throw new Error(`${attempt} was not placed`);
    }
    return answer.decision.decode;
}

describe("the placing of a leading directory", () => {
    // Symptom: callers are told to come back, "an engine that has gone was placed", though others have room.
    // Sequence: one engine changes, and its change is taken over; another one leaves within the next 50 ms.
    // Cause: the second change was taken over only after these, and runs were placed meanwhile.
    it("places nothing at an engine that has just left, however shortly after another change", async () => {
        const instances = new CountedInstances();
        const all = engines(1, 3);
        all.forEach(engine => instances.take(engine));
        const service = serviceOf(instances);
        const gone = ["decode-0", "decode-1"];
        for (const id of gone) {
            instances.take({ ...all.find(engine => engine.id === id)!, state: "left", sequence: 2 });
            service.noteChange();
        }
        for (let number = 0; number < 6; number++) {
            expect(await decodeEngine(service, `a-${number}`)).to.equal("decode-2");
        }
        service.close();
    });

    // Symptom: after a restart of all directories with a thousand servers the new leader has no time for its gateways.
    // Cause: each first heartbeat had every server of every pool looked at.
    it("looks at all backend servers once before a decision, however many have changed", async () => {
        const instances = new CountedInstances();
        const service = serviceOf(instances);
        for (const engine of engines(200, 800)) {
            instances.take(engine);
            service.noteChange();
        }
        await decodeEngine(service, "a");
        await decodeEngine(service, "b");
        expect(instances.looks).to.equal(1);
        service.close();
    });
});
