import { expect } from "chai";
import { setUpTimeoutMilliseconds, until } from "../harness/index.js";
import { FakeWeightStore } from "../standins/fakeWeightStore.js";
import { expectCompleteAnswer } from "./load.js";
import { call, model, Rig } from "./rig.js";

/** Bytes per second of the weight store; one load takes a quarter of a second. */
const bytesPerSecond = 200_000_000;

describe("a rollout over real processes", () => {
    let store: FakeWeightStore;
    let rig: Rig;
    before(async function() {
        this.timeout(setUpTimeoutMilliseconds);
        store = await FakeWeightStore.create({ rate: bytesPerSecond });
        // These engines execute every order without checking its fence, so that an order under an old fence shows up.
        rig = await Rig.create(false, { weightStore: store.url, checksFence: false });
    });
    after(async () => {
        await rig?.close();
        await store?.close();
    });
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            process.stderr.write(await rig.diagnostics());
        }
    });

    function engines() {
        return ["prefill-1", "prefill-2", "decode-1", "decode-2"].map(id => rig.deployment.backends.get(id)!);
    }

    async function receivedOrders() {
        return Promise.all(engines().map(engine => engine.orders()));
    }

    async function ordersLease(entryIndex: number) {
        return (await rig.deployment.status(rig.entry(entryIndex))).view.leases["orders"];
    }

    it("completes under increasing fences when the holder of the orders lease is frozen", async () => {
        // Guards against an engine that unloads the version which it has just loaded.
        const first = await until("a holder of the orders lease", () => ordersLease(0));
        const frozen = rig.deployment.entries.findIndex(entry => entry.name === first.holder.daemon);
        const [entryIndex, other] = [0, 1, 2].filter(index => index !== frozen) as [number, number];
        await rig.apply(entryIndex, [model], "a new version", 20_000, "2");
        await until("the first order", async () => (await receivedOrders()).flat().length > 0);
        rig.entry(frozen).signal("SIGSTOP");
        const next = await until("another holder of the orders lease", async () => {
            const lease = await ordersLease(entryIndex);
            return lease !== undefined && lease.fence > first.fence && lease;
        });
        const served = call("during the rollout");
        expectCompleteAnswer(await rig.caller(other).requestCompletionWithRetries(served), served);
        await until(
            "an order from the next holder",
            async () => (await receivedOrders()).flat().some(order => order.fence === next.fence),
        );
        rig.entry(frozen).signal("SIGCONT");
        await until("all engines to serve only the new version", async () => {
            const { view } = await rig.deployment.status(rig.entry(entryIndex));
            const servedModels = engines().map(({ id }) => view.backends[id]?.announcement.models ?? []);
            return servedModels.every(models => models.length === 1 && models[0]!.version === "2");
        });
        expectCompleteAnswer(await rig.caller(frozen).requestCompletionWithRetries(served), served);
        for (const received of await receivedOrders()) {
            const fences = received.map(order => order.fence);
            expect(fences).to.deep.equal([...fences].sort((one, another) => one - another));
            // The new version is loaded before the old one is unloaded, so that no running request is interrupted.
            const actions = received.map(({ order }) => order.action);
            expect(actions.indexOf("load")).to.be.lessThan(actions.lastIndexOf("unload"));
        }
        expect(store.loads.most).to.be.at.most(2);
    });
});
