import { expect } from "chai";
import { engineAnnouncement, pool, poolName, viewOf } from "../../../../../../../simulation/orders/samples.js";
import { servedVersion, versionToServe } from "../servedVersion.js";

const old = { name: "m", version: "1", adapters: [] };
const declared = { name: "m", version: "2", adapters: [] };

/** The version to serve of a pool with four decode engines, some of which have the declared version, and one prefill engine. */
function versionFor(warmDecodes: number, prefillWarm: boolean, oldLeft = true): string | undefined {
    const carried = (warm: boolean) => [...(oldLeft ? [old] : []), ...(warm ? [declared] : [])];
    const decodes = [0, 1, 2, 3].map(n => engineAnnouncement(`decode-${n}`, { models: carried(n < warmDecodes) }));
    const prefill = engineAnnouncement("prefill-0", { role: "prefill", models: carried(prefillWarm) });
    return versionToServe([...decodes, prefill], pool(), "m", undefined);
}

describe("the version to serve", () => {
    it("remains the old one until most engines of both roles have the declared one warm", () => {
        // Guards against a rollout that makes a pool refuse most requests: if a version were served as soon as one engine
        // has it warm, all traffic would go to that first copy.
        expect(versionFor(1, true)).to.equal("1");
        expect(versionFor(4, false)).to.equal("1");
        expect(versionFor(3, true)).to.equal("2");
    });

    it("is the declared one if no engine has another version, however few have it", () => {
        expect(versionFor(1, true, false)).to.equal("2");
    });

    it("is undefined if no pair of engines has any version", () => {
        expect(versionFor(4, false, false)).to.equal(undefined);
    });
});

describe("the served version", () => {
    const both = { models: [old, declared] };
    const engines = [
        engineAnnouncement("prefill-0", { role: "prefill", ...both }),
        engineAnnouncement("decode-0", both),
    ];
    const view = viewOf(pool(), engines);

    it("is the named one while a pair of engines has it, whatever most engines have", () => {
        // Guards against requests that are aborted because the version that they run is unloaded. After traffic has moved
        // and while the old version is being unloaded, some engines restart with it: if the served version were the one
        // that most engines carry, the old one would be served again.
        const restarted = [1, 2, 3].map(n => engineAnnouncement(`decode-${n}`, { models: [old] }));
        const later = viewOf(pool(), [...engines, ...restarted]);
        expect(servedVersion({ ...later, served: { [poolName]: { m: "2" } } }, poolName, "m")).to.equal("2");
        expect(servedVersion({ ...view, served: { [poolName]: { m: "1" } } }, poolName, "m")).to.equal("1");
    });

    it("is one that engines carry if none is named or no engine carries the named one", () => {
        expect(servedVersion(view, poolName, "m")).to.equal("2");
        expect(servedVersion({ ...view, served: { [poolName]: { m: "0" } } }, poolName, "m")).to.equal("2");
    });
});
