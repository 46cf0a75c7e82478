import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { createSilentLogger, SilentMetrics } from "../../../utils/index.js";
import { HeldBytes } from "../heldBytes.js";
import type { ReceivedBody } from "../receivedBodies.js";

/** Of which callers' bodies may take half. */
const limit = 2_000;
const second = 1_000;

// Guards against bodies that never end, and keep out every caller who would be done in a moment.
describe("callers' bodies that aren't whole", () => {
    let clock: ManualClock;
    let held: HeldBytes;
    let gaveWay: string[];

    beforeEach(() => {
        clock = new ManualClock();
        held = HeldBytes.create({ limit, clock, logger: createSilentLogger(), metrics: SilentMetrics.create() });
        gaveWay = [];
    });

    function receive(name: string, bytes: number): ReceivedBody {
        const body = held.received.receive(() => gaveWay.push(name));
        expect(body.reserve(bytes), name).to.equal(true);
        return body;
    }

    it("give way when nothing came of them for a second, those without a byte for longest first", async () => {
        receive("small", 100);
        await clock.advance(second);
        receive("later", 100);
        await clock.advance(2 * second);
        const steady = receive("steady", 700);
        expect([steady.reserve(200), gaveWay, held.bytes]).to.deep.equal([true, ["small"], 1_000]);
    });

    it("don't give way while bytes come of them, if they are smaller than the one that asks", async () => {
        const [slow, other] = [receive("slow", 100), receive("other", 800)];
        for (let sent = 0; sent < 20; sent++) {
            await clock.advance(second / 4);
            expect([slow.reserve(1), other.reserve(1)]).to.deep.equal([true, true]);
        }
        expect([other.reserve(200), gaveWay, held.bytes]).to.deep.equal([false, [], 120]);
    });

    it("give way to a smaller one, the largest first", () => {
        receive("large", 300);
        receive("largest", 500);
        receive("small", 150);
        expect([receive("asks", 200).bytes, gaveWay, held.bytes]).to.deep.equal([200, ["largest"], 650]);
    });

    it("don't give way for what their process didn't read while it stood still", async () => {
        receive("unread", 400);
        await clock.advance(second / 4);
        clock.freeze(10 * second);
        const asks = receive("asks", 500);
        expect([asks.reserve(200), gaveWay]).to.deep.equal([false, []]);
    });

    it("don't give way when that wouldn't make enough room, and no answer of a server does", () => {
        expect(held.hold({}, () => gaveWay.push("answer")).reserve(900)).to.equal(true);
        receive("unfinished", 100);
        const asks = held.received.receive(() => gaveWay.push("asks"));
        expect([asks.reserve(150), gaveWay]).to.deep.equal([false, []]);
    });

    it("give way no more once they are whole, and count until they are released", () => {
        const whole = receive("whole", 900);
        whole.recordWhole();
        expect([held.received.receive(() => undefined).reserve(200), gaveWay, held.bytes]).to.deep.equal([
            false,
            [],
            900,
        ]);
        whole.release();
        expect([receive("next", 1_000).bytes, gaveWay]).to.deep.equal([1_000, []]);
    });
});
