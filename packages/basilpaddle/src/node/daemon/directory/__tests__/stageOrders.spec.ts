import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { engines, poolTraffic } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import { unhandledRejectionsIn } from "../../../utils/__tests__/unhandledRejections.js";
import { createSilentLogger } from "../../../utils/index.js";
import type { BackendConnections } from "../../backends/index.js";
import type { DirectoryWire } from "../directoryWire.js";
import { StageOrders } from "../stageOrders.js";

/** Prompts long enough that the plan calls for two more prefill engines. */
const longPrompts = { prefillTime: 400, allocationTime: 2_000, cacheTokens: 12_000 };

type Scenario = {
    readonly prefill: number;
    readonly queuedRequests: (now: number) => number;
    readonly call?: () => Promise<unknown>;
};

const failToConnect = async (): Promise<unknown> => ({ kind: "notRun", cause: "no connection", unreachable: true });

/** The orders issued within the given time, each as engine, stage and whether the order was still open. */
async function ordersIssuedWithin(
    milliseconds: number,
    { prefill, queuedRequests, call = failToConnect }: Scenario,
): Promise<string[]> {
    const clock = new ManualClock();
    const instances = InstanceTable.create();
    engines(prefill, 10).forEach(engine => instances.apply(engine));
    const ordered: string[] = [];
    const orders = StageOrders.create({
        holder: "d-1",
        instances,
        traffic: () => poolTraffic,
        typicalRequest: () => longPrompts,
        queuedRequests: () => queuedRequests(clock.monotonic()),
        onOrdered: ({ id }, stage, within) => ordered.push(`${id} ${stage} ${within > 0}`),
        wire: { order: () => ({ method: "POST", path: "/", headers: {} }) } as unknown as DirectoryWire,
        connections: { call } as unknown as BackendConnections,
        clock,
        logger: createSilentLogger(),
        lease: 500,
        firstHolder: true,
    }, 1);
    await clock.advance(milliseconds);
    orders.close();
    return ordered;
}

// Guards against every tenth run of a burst being rejected after its prefill. Prefill engines were slow for some seconds, so
// the observed means called for more of them; two of ten decode engines were converted just as the burst began, and were
// unavailable for twelve seconds. The change was ordered as soon as the means called for it, regardless of the requests that
// waited for decode engines.
describe("orders to change stages", () => {
    it("convert decode engines only after sustained demand", async () => {
        expect(await ordersIssuedWithin(15_000, { prefill: 3, queuedRequests: () => 0 })).to.deep.equal([]);
        const later = await ordersIssuedWithin(20_000, { prefill: 3, queuedRequests: () => 0 });
        expect(later.map(order => order.split(" ").slice(1).join(" "))).to.deep.equal(["prefill true", "prefill true"]);
    });

    it("convert none while placement requests are queued, nor immediately after the queue has emptied", async () => {
        expect(await ordersIssuedWithin(60_000, { prefill: 3, queuedRequests: () => 1 })).to.deep.equal([]);
        const queuedRequests = (now: number): number => now > 10_000 && now < 12_000 ? 5 : 0;
        expect(await ordersIssuedWithin(25_000, { prefill: 3, queuedRequests })).to.deep.equal([]);
    });

    // Guards against a directory that the failed order to one engine terminates.
    it("survive an error of a call", async () => {
        const call = (): Promise<never> => Promise.reject(new TypeError("Invalid URL"));
        const issue = (): Promise<string[]> => ordersIssuedWithin(5_000, { prefill: 0, queuedRequests: () => 3, call });
        expect(await unhandledRejectionsIn(issue)).to.deep.equal([]);
    });

    it("assign one engine to prefill immediately if there is none", async () => {
        const [first] = await ordersIssuedWithin(5_000, { prefill: 0, queuedRequests: () => 3 });
        expect(first).to.match(/ prefill true$/);
    });
});
