import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { createSilentLogger, SilentMetrics } from "../../../utils/index.js";
import { HeldBytes, type Holding } from "../heldBytes.js";

const limit = 10_000_000;
const pause = 100;

// Guards against bodies that are bounded each, and together take all memory.
describe("the bytes of all bodies together", () => {
    let clock: ManualClock;
    let held: HeldBytes;
    let gaveWay: string[];

    beforeEach(() => {
        clock = new ManualClock();
        held = HeldBytes.create({ limit, clock, logger: createSilentLogger(), metrics: SilentMetrics.create() });
        gaveWay = [];
    });

    function body(name: string, bytes: number): Holding {
        const holding = held.hold({ name }, () => gaveWay.push(name));
        expect(holding.reserve(bytes), name).to.equal(true);
        return holding;
    }

    it("leave room for one large body, and beside it for small ones", () => {
        body("large", 7_500_000);
        body("small", 100_000);
        expect(held.hold({}).reserve(200_000)).to.be.instanceOf(Promise);
    });

    it("pause a body until another one is released", async () => {
        const first = body("first", 5_000_000);
        const second = body("second", 2_000_000);
        const more = second.reserve(1_000_000);
        await clock.advance(pause / 2);
        first.release();
        expect([await more, second.bytes, gaveWay]).to.deep.equal([true, 3_000_000, []]);
    });

    it("make the largest give way after a pause", async () => {
        const [first, second] = [body("first", 5_000_000), body("second", 2_000_000)];
        const reserved = [first.reserve(1_000_000), second.reserve(1_000_000)];
        await clock.advance(pause);
        expect([await Promise.all(reserved), gaveWay]).to.deep.equal([[false, true], ["first"]]);
        expect(first.reserve(1)).to.equal(false);
    });

    it("make no body give way that a caller has yet to take", async () => {
        held.take({}, 9_000_000);
        const own = body("own", 100_000);
        const more = own.reserve(500_000);
        await clock.advance(pause);
        expect([await more, gaveWay]).to.deep.equal([false, ["own"]]);
    });

    it("leave a part that callers' bodies can't take", () => {
        const callers = held.hold({});
        expect([held.tryReserve(callers, 5_000_000, 0.5), held.tryReserve(callers, 1, 0.5)]).to.deep.equal([
            true,
            false,
        ]);
        body("answer", 2_000_000);
    });
});
