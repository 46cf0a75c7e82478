import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { ActiveClock } from "../../../utils/index.js";
import { RunPauses } from "../runPauses.js";

const tickMilliseconds = 20;

describe("the pauses of a run", () => {
    let host: ManualClock;
    let activeClock: ActiveClock;
    let pauses: RunPauses;

    beforeEach(async () => {
        host = new ManualClock();
        activeClock = ActiveClock.create(host);
        pauses = RunPauses.create(host, activeClock);
        for (let event = 0; event < 10; event++) {
            await tick(40);
            pauses.recordEvents();
        }
    });

    async function tick(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
            await host.advance(tickMilliseconds);
            activeClock.tick();
        }
    }

    it("are stalls of the link if events come late", async () => {
        await tick(260);
        expect(pauses.recordEvents()).to.equal(true);
    });

    // Guards against links that count as losing packets, since nobody read what came over them.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`are no stalls if this process stood still for ${milliseconds} ms`, async () => {
            host.freeze(milliseconds);
            expect(pauses.recordEvents()).to.equal(false);
            activeClock.tick();
            await tick(40);
            expect(pauses.recordEvents()).to.equal(false);
            expect(pauses.longest(), "what its caller saw").to.equal(milliseconds);
        });
    }
});
