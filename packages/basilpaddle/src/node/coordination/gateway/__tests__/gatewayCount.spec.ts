import { expect } from "chai";
import { GatewayCount } from "../gatewayCount.js";

const settled = [{ gateways: 9, gatewaysSettled: true }];

// Guards against common limits that are exceeded by gateways which reach no directory: each took the whole limit for its own.
describe("the number of gateways that share a limit", () => {
    it("stays the last known one while no directory is reached, however long", () => {
        const count = GatewayCount.create(0);
        expect(count.highestRecent(settled, 5_000)).to.equal(9);
        expect(count.current([])).to.equal(9);
        expect(count.highestRecent([], 60_000)).to.equal(9);
    });

    it("is assumed to be large until a directory was reached, however long that takes", () => {
        const count = GatewayCount.create(0);
        expect(count.highestRecent([], 3_000)).to.equal(100);
        expect(count.highestRecent([], 60_000)).to.equal(100);
        expect(count.highestRecent(settled, 60_100)).to.equal(9);
    });

    it("shrinks only some time after directories count fewer", () => {
        const count = GatewayCount.create(0);
        const fewer = [{ gateways: 4, gatewaysSettled: true }];
        expect(count.highestRecent(settled, 5_000)).to.equal(9);
        expect(count.highestRecent(fewer, 24_000)).to.equal(9);
        expect(count.highestRecent(fewer, 26_000)).to.equal(4);
    });
});
