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
