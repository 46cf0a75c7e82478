import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import {
    announced,
    engines,
    poolTraffic,
    route,
    typicalPlacementRequest,
} from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import type { PlacementDecision, PlacementRequest } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { PlacementService } from "../placementService.js";

const routes = [0, 1, 2].map(priority => {
    return route({ name: `r-${priority}`, priority, targets: [{ service: "pool", weight: 1 }] });
});
/** Runs of typical requests that a leader places at one engine: 1.1 times its KV cache. */
const runsPerEngine = 9;

/** Gateways before a leading directory: each asks again until its requests are decided, and reports its placements. */
class Deployment {
    readonly instances = InstanceTable.create();
    readonly clock = new ManualClock();
    /** Engine and request of each placed attempt, in the order of their placement, and the reason of each refusal. */
    readonly held = new Map<string, { readonly demand: PlacementRequest; readonly decode: string; }>();
    readonly refused = new Map<string, string>();
    private readonly cutOff = new Set<string>();
    leader = this.elect(1);

    /** A directory takes over that knows nothing but the backend servers. */
    elect(term: number): PlacementService {
        return PlacementService.create({
            instances: this.instances,
            traffic: () => ({ ...poolTraffic, routes }),
            onServerCalls: () => undefined,
            onIncarnationEnded: () => undefined,
            clock: this.clock,
            logger: createSilentLogger(),
        }, term);
    }

    async ask(attempt: string, overrides: Partial<PlacementRequest>, leader = this.leader): Promise<void> {
        const demand = typicalPlacementRequest(attempt, { patienceWithin: 60_000, ...overrides });
        while (leader === this.leader && !this.cutOff.has(demand.gateway)) {
            const reply = await leader.handle({ kind: "place", demand });
            if (reply?.kind === "decided") {
                this.record(reply.decision, demand);
                return;
            }
        }
    }

    /** Fills every engine with runs whose prompts have been read. */
    async fill(count: number, gateway: string): Promise<void> {
        for (let number = 0; number < count; number++) {
            await this.ask(`held-${number}`, { priority: 2, gateway });
            await this.leader.handle({ kind: "prefilled", attempt: `held-${number}` });
        }
    }

    async report(gateway: string): Promise<void> {
        const held = [...this.held.values()].filter(({ demand }) => demand.gateway === gateway);
        await this.leader.handle({ kind: "holdings", gateway, held });
    }

    /** Ends the run that has been placed for longest. */
    async endOldest(): Promise<void> {
        const [attempt] = this.held.keys();
        this.held.delete(attempt!);
        await this.leader.handle({ kind: "release", attempt: attempt!, end: {} });
        await this.clock.advance(200);
        for (const other of this.held.keys()) {
            await this.leader.handle({ kind: "prefilled", attempt: other });
        }
    }

    cut(gateway: string): void {
        this.cutOff.add(gateway);
    }

    runsAt(decode: string): number {
        return [...this.held.values()].filter(held => held.decode === decode).length;
    }

    private record(decision: PlacementDecision, demand: PlacementRequest): void {
        if (decision.kind === "placed") {
            this.held.set(demand.attempt, { demand, decode: decision.decode });
        }
        else {
            this.refused.set(demand.attempt, decision.reason);
        }
    }
}

describe("a pool with several priorities, short of capacity", () => {
    let deployment: Deployment;

    beforeEach(() => {
        deployment = new Deployment();
        engines(2, 2).forEach(engine => deployment.instances.apply(engine));
    });

    afterEach(() => deployment.leader.close());

    // Guards against requests that are lost or placed by nobody's order, and engines that are filled twice, when their leader ends.
    it("goes on by priority at a new leader if the old one is killed while 200 requests wait", async () => {
        await deployment.fill(2 * runsPerEngine, "a");
        const ask = (number: number): Promise<void> =>
            deployment.ask(`waiting-${number}`, { priority: 2 - number % 3, gateway: "ab"[number % 2]! });
        Array.from({ length: 200 }, (_, number) => void ask(number));
        await deployment.clock.advance(100);
        deployment.leader.close();
        deployment.leader = deployment.elect(2);
        await deployment.report("a");
        Array.from({ length: 200 }, (_, number) => void ask(number));
        await deployment.clock.advance(100);
        expect(deployment.held.size + deployment.refused.size).to.equal(2 * runsPerEngine);
        for (let count = 0; count < 10; count++) {
            await deployment.endOldest();
            expect(deployment.held.size).to.equal(2 * runsPerEngine);
        }
        const placedAfter = [...deployment.held.values()].slice(-10).map(({ demand }) => demand.priority);
        expect(placedAfter.filter(priority => priority === 0).length).to.be.at.least(8);
    });

    // Guards against capacity that stays promised to the callers of a gateway which nobody reaches, and is counted twice when it is back.
    it("gives the room of a gateway that is cut off to the others, and counts its runs when it is back", async () => {
        await deployment.fill(2 * runsPerEngine, "a");
        for (let number = 0; number < 20; number++) {
            void deployment.ask(`promised-${number}`, {
                priority: 1,
                gateway: "a",
                patienceWithin: 400,
                deadlineWithin: 9_000,
            });
        }
        await deployment.clock.advance(100);
        expect(deployment.refused.size).to.be.above(0);
        const heldByA = [...deployment.held.keys()];
        deployment.cut("a");
        deployment.leader.retainGateways(["b"]);
        for (let number = 0; number < 4; number++) {
            void deployment.ask(`b-${number}`, { priority: 2, gateway: "b" });
            await deployment.clock.advance(100);
        }
        expect([...deployment.held.keys()].filter(attempt => attempt.startsWith("b-"))).to.have.length(4);
        await deployment.report("a");
        void deployment.ask("b-late", { priority: 0, gateway: "b" });
        await deployment.clock.advance(200);
        expect(deployment.held.has("b-late")).to.equal(false);
        expect(heldByA).to.have.length(2 * runsPerEngine);
    });

    // Guards against engines that are overfilled by a directory which knows them from an old cache: runs at an engine that it doesn't know
    // yet were forgotten, and the engine was filled again when it was heard of.
    it("counts the runs at engines that are missing in the old cache of the directory that leads", async () => {
        await deployment.fill(2 * runsPerEngine, "a");
        const known = [...deployment.held.values()];
        deployment.leader.close();
        const cached = new Deployment();
        cached.instances.apply(
            announced({ id: "ended@1", stage: "decode", state: "silent", startedAt: 1, name: "ended" }),
        );
        engines(2, 1).forEach(engine => cached.instances.apply(engine));
        known.forEach(held => cached.held.set(held.demand.attempt, held));
        deployment = cached;
        await cached.report("a");
        engines(2, 2).forEach(engine => cached.instances.apply({ ...engine, sequence: 2 }));
        cached.leader.markPoolsOutdated();
        void cached.ask("next", { priority: 0, gateway: "b" });
        await cached.clock.advance(200);
        expect(cached.held.has("next")).to.equal(false);
        expect(["decode-0", "decode-1"].map(id => cached.runsAt(id))).to.deep.equal([runsPerEngine, runsPerEngine]);
    });
});
