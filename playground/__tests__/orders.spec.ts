import { expect } from "chai";
import { setUpLimit, until } from "../harness/index.js";
import { FakeWeightStore } from "../standins/fakeWeightStore.js";
import { expectWhole } from "./load.js";
import { call, model, Rig } from "./rig.js";

/** Bytes a second of the weight store: a quarter of a second for one load. */
const rate = 200_000_000;

describe("a rollout over real processes", () => {
    let store: FakeWeightStore;
    let rig: Rig;
    before(async function() {
        this.timeout(setUpLimit);
        store = await FakeWeightStore.create({ rate });
        // These engines carry out whatever they are told, so that an order under an old fence would show.
        rig = await Rig.create(false, { weightStore: store.url, checksFence: false });
    });
    after(async () => {
        await rig?.close();
        await store?.close();
    });
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            process.stderr.write(await rig.picture());
        }
    });

    function engines() {
        return ["prefill-1", "prefill-2", "decode-1", "decode-2"].map(id => rig.deployment.backends.get(id)!);
    }

    async function allGiven() {
        return Promise.all(engines().map(engine => engine.orders()));
    }

    async function ordersLease(asked: number) {
        return (await rig.deployment.status(rig.entry(asked))).view.leases["orders"];
    }

    it("goes to its end under one fence after the other when the holder of the orders is frozen", async () => {
        // Guards against this: an engine loses the version that it has just loaded.
        const first = await until("a holder of the orders", () => ordersLease(0));
        const frozen = rig.deployment.entries.findIndex(entry => entry.name === first.holder.daemon);
        const [asked, other] = [0, 1, 2].filter(index => index !== frozen) as [number, number];
        await rig.apply(asked, [model], "a new version", 20_000, "2");
        await until("the first order", async () => (await allGiven()).flat().length > 0);
        rig.entry(frozen).signal("SIGSTOP");
        const next = await until("another holder", async () => {
            const lease = await ordersLease(asked);
            return lease !== undefined && lease.fence > first.fence && lease;
        });
        const served = call("during the rollout");
        expectWhole(await rig.caller(other).askUntilRun(served), served);
        await until(
            "an order of the next holder",
            async () => (await allGiven()).flat().some(order => order.fence === next.fence),
        );
        rig.entry(frozen).signal("SIGCONT");
        await until("the new version alone, everywhere", async () => {
            const { view } = await rig.deployment.status(rig.entry(asked));
            const carried = engines().map(({ id }) => view.backends[id]?.announcement.models ?? []);
            return carried.every(models => models.length === 1 && models[0]!.version === "2");
        });
        expectWhole(await rig.caller(frozen).askUntilRun(served), served);
        for (const given of await allGiven()) {
            const fences = given.map(order => order.fence);
            expect(fences).to.deep.equal([...fences].sort((one, another) => one - another));
            // The new version is there before the old one goes, and nothing that runs is cut.
            const actions = given.map(({ order }) => order.action);
            expect(actions.indexOf("load")).to.be.lessThan(actions.lastIndexOf("unload"));
        }
        expect(store.loads.most).to.be.at.most(2);
    });
});
