import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { engines, poolTraffic } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import type { BackendConnections } from "../../backends/index.js";
import type { DirectoryWire } from "../directoryWire.js";
import { StageOrders } from "../stageOrders.js";

/** Prompts long enough that two more engines should read. */
const longPrompts = { readingTime: 400, holdTime: 2_000, cacheTokens: 12_000 };

type Given = { readonly prefill: number; readonly waiting: (now: number) => number; };

/** Orders that were given within a time, as engine and stage. */
async function ordersWithin(milliseconds: number, { prefill, waiting }: Given): Promise<string[]> {
    const clock = new ManualClock();
    const instances = InstanceTable.create();
    engines(prefill, 10).forEach(engine => instances.take(engine));
    const ordered: string[] = [];
    const orders = StageOrders.create({
        holder: "d-1",
        instances,
        traffic: () => poolTraffic,
        usualRequest: () => longPrompts,
        waiting: () => waiting(clock.monotonic()),
        onOrdered: ({ id }, stage, within) => ordered.push(`${id} ${stage} ${within > 0}`),
        wire: { order: () => ({ method: "POST", path: "/", headers: {} }) } as unknown as DirectoryWire,
        connections: {
            call: async () => ({ kind: "notRun", cause: "no connection", unreachable: true }),
        } as unknown as BackendConnections,
        clock,
        logger: createSilentLogger(),
        lease: 500,
        firstHolder: true,
    }, 1);
    await clock.pass(milliseconds);
    orders.close();
    return ordered;
}

// Symptom: in a burst every tenth run is turned away, and its prompt was read in vain.
// Sequence: prefill engines turn slow for some seconds; by what is then observed more engines should read; two of ten decode
// engines are ordered to, just as the burst begins, and are out for twelve seconds.
// Cause: a change was made as soon as the means said so, whatever waited for decode engines.
describe("orders to change stages", () => {
    it("take decode engines only once they have been wanted for a while", async () => {
        expect(await ordersWithin(15_000, { prefill: 3, waiting: () => 0 })).to.deep.equal([]);
        const later = await ordersWithin(20_000, { prefill: 3, waiting: () => 0 });
        expect(later.map(order => order.split(" ").slice(1).join(" "))).to.deep.equal(["prefill true", "prefill true"]);
    });

    it("take none while demands wait for their places, and not at once when they wait no more", async () => {
        expect(await ordersWithin(60_000, { prefill: 3, waiting: () => 1 })).to.deep.equal([]);
        const waiting = (now: number): number => now > 10_000 && now < 12_000 ? 5 : 0;
        expect(await ordersWithin(25_000, { prefill: 3, waiting })).to.deep.equal([]);
    });

    it("make one engine read at once where none does", async () => {
        const [first] = await ordersWithin(5_000, { prefill: 0, waiting: () => 3 });
        expect(first).to.match(/ prefill true$/);
    });
});
