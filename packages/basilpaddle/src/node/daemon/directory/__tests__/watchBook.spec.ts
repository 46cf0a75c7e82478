import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { Announcements } from "../../../coordination/index.js";
import { WatchBook } from "../watchBook.js";

function watched(gatewaysBefore: number, clock: ManualClock): WatchBook {
    return WatchBook.create({
        incarnation: "one",
        failureDomain: "a",
        announcements: Announcements.create(1_000),
        document: () => ({ version: 1, content: "{}" }),
        members: () => ({ members: [], leader: undefined }),
        ejected: () => [],
        gatewaysBefore,
        clock,
    });
}

async function counted(book: WatchBook): Promise<{ readonly gateways: number; readonly settled: boolean; }> {
    const watch = {
        kind: "watch",
        gateway: "g",
        version: -1,
        incarnation: "",
        cursor: 0,
        wantsDocument: false,
    } as const;
    const { gateways, gatewaysSettled = false } = await book.watch({ ...watch, observer: false });
    return { gateways, settled: gatewaysSettled };
}

// Symptom: in the seconds after a loss of power everywhere requests are refused for want of repeats.
// Sequence: directories start again, and count the gateways that have come so far; nobody can trust that.
describe("the count of gateways after a restart", () => {
    it("is the one from before until all have had the time to come", async () => {
        const clock = new ManualClock();
        const book = watched(9, clock);
        expect(await counted(book)).to.deep.equal({ gateways: 9, settled: true });
        clock.freeze(10_000);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: true });
    });

    it("isn't to be trusted at first where nobody remembers any", async () => {
        const clock = new ManualClock();
        const book = watched(0, clock);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: false });
        clock.freeze(10_000);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: true });
    });
});

// Symptom: for ten seconds after all directories were lost repeats are refused, just when engines crash.
// Sequence: a new leader doesn't know what the one before has lent; the gateways that borrowed it have lived on.
describe("what gateways have borrowed", () => {
    const watch = {
        kind: "watch",
        version: -1,
        incarnation: "",
        cursor: 0,
        wantsDocument: false,
        observer: false,
    } as const;

    it("is known once as many gateways have told as there were before", async () => {
        const book = watched(2, new ManualClock());
        await book.watch({ ...watch, gateway: "g", borrowed: [{ service: "s", count: 3 }] });
        expect(book.borrowed("s")).to.equal(undefined);
        await book.watch({
            ...watch,
            gateway: "h",
            borrowed: [{ service: "s", count: 4 }, { service: "t", count: 1 }],
        });
        expect(book.borrowed("s")).to.equal(7);
        expect(book.borrowed("u")).to.equal(0);
    });

    it("isn't known where nobody remembers how many gateways there are, until all have had the time to come", async () => {
        const clock = new ManualClock();
        const book = watched(0, clock);
        await book.watch({ ...watch, gateway: "g" });
        expect(book.borrowed("s")).to.equal(undefined);
        clock.freeze(10_000);
        await book.watch({ ...watch, gateway: "g" });
        expect(book.borrowed("s")).to.equal(0);
    });
});
