import { expect } from "chai";
import { placementMessageSchema } from "../../../protocol/index.js";
import { WritingMeter } from "../index.js";

describe("reports of a run's writing", () => {
    it("cover the events since the previous report, without those of the first chunk", () => {
        const meter = WritingMeter.create();
        expect(meter.takeReport()).to.equal(undefined);
        meter.recordEvents(0, 50);
        meter.recordEvents(2, 100);
        expect(meter.takeReport()).to.equal(undefined);
        meter.recordEvents(1, 140);
        meter.recordEvents(2, 220);
        expect(meter.takeReport()).to.deep.equal({ events: 3, milliseconds: 120 });
        expect(meter.takeReport()).to.equal(undefined);
        meter.recordEvents(1, 260);
        expect(meter.takeReport()).to.deep.equal({ events: 1, milliseconds: 40 });
    });

    // Guards against a placement that stays allocated for a minute because the report of its release was discarded.
    it("are dropped if they are invalid, and the release that carries them is valid", () => {
        for (const writing of [{ events: Number.NaN, milliseconds: 1 }, { events: "many" }, 7, "x"]) {
            const message = placementMessageSchema.parse({ kind: "release", attempt: "a", end: { writing } });
            expect(message).to.deep.include({ kind: "release", attempt: "a" });
        }
    });
});
