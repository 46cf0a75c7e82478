import { expect } from "chai";
import { ManualClock } from "../../../../../../simulation/manualClock.js";
import { Throttle } from "../throttle.js";

describe("a throttle", () => {
    it("acts at once, then once an interval, and not without being asked", async () => {
        const clock = new ManualClock();
        const times: number[] = [];
        const throttle = Throttle.create(clock, 100, () => times.push(clock.monotonic()));
        for (let now = 0; now < 250; now += 10) {
            throttle.request();
            await clock.pass(10);
        }
        await clock.pass(1_000);
        expect(times).to.deep.equal([0, 100, 200, 300]);
        throttle.request();
        expect(times.at(-1)).to.equal(1_250);
    });

    it("doesn't act any more once it is closed", async () => {
        const clock = new ManualClock();
        let count = 0;
        const throttle = Throttle.create(clock, 100, () => {
            count += 1;
        });
        throttle.request();
        throttle.request();
        throttle.close();
        await clock.pass(1_000);
        expect(count).to.equal(1);
    });
});
