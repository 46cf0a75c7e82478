import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import type { Traffic } from "../../../protocol/index.js";
import { CurrentRoutes } from "../currentRoutes.js";

describe("a request's wait for the first configuration", () => {
    /** Whether a wait has ended after so many milliseconds for a request with a deadline of a second that is that old. */
    async function hasEnded(age: number, milliseconds: number): Promise<boolean> {
        const clock = new ManualClock(10_000);
        let ended = false;
        void CurrentRoutes.create(clock).waitForFirst(1_000, clock.monotonic() - age).then(() => {
            ended = true;
        });
        await clock.advance(milliseconds);
        return ended;
    }

    it("ends after two fifths of its caller's deadline", async () => {
        expect(await hasEnded(0, 399)).to.equal(false);
        expect(await hasEnded(0, 400)).to.equal(true);
    });

    // Guards against refusals that come after their callers have left, since the request had waited unread and its wait counted from the reading.
    it("counts what the request waited unread", async () => {
        expect(await hasEnded(300, 99)).to.equal(false);
        expect(await hasEnded(300, 100)).to.equal(true);
        expect(await hasEnded(900, 0)).to.equal(true);
    });

    it("ends with the configuration", async () => {
        const clock = new ManualClock(10_000);
        const routes = CurrentRoutes.create(clock);
        const first = routes.waitForFirst(1_000, clock.monotonic());
        routes.set({ version: 1, routes: [], services: [], organisations: [] } as unknown as Traffic);
        expect(await first).to.equal(routes.table());
        expect(routes.table()).to.not.equal(undefined);
    });
});
