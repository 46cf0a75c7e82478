import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { type InstanceTable, versionMemoryMilliseconds } from "../../../coordination/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { StreamRegistry } from "../streamRegistry.js";

describe("the versions that a directory knows", () => {
    // Guards against a version that is confirmed although a restart would forget it.
    it("are stored before they are confirmed, once more if they had been forgotten", async () => {
        const clock = new ManualClock();
        let stores = 0;
        const registry = StreamRegistry.create({
            instances: () => ({ all: () => [] }) as unknown as InstanceTable,
            firstStart: true,
            restored: undefined,
            store: () => Promise.resolve(++stores !== 2),
            clock,
            logger: createSilentLogger(),
        });
        const confirm = async (version: string): Promise<boolean> => {
            const reply = await registry.handle({ kind: "origin", service: "pool", within: 1_000, served: [version] });
            return "versions" in reply && reply.versions.includes(version);
        };
        expect([await confirm("v1"), await confirm("v1"), stores]).to.deep.equal([true, true, 1]);
        expect([await confirm("v2"), await confirm("v2"), stores]).to.deep.equal([false, true, 3]);
        await clock.advance(versionMemoryMilliseconds + 1);
        await confirm("v2");
        expect([await confirm("v1"), stores]).to.deep.equal([true, 5]);
    });
});
