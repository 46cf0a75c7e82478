import { expect } from "chai";
import { ManualClock } from "../../../../../../simulation/manualClock.js";
import { ActiveClock } from "../activeClock.js";

const tickMilliseconds = 20;

/** An active clock whose process ticks for a time, or stands still. */
class Process {
    readonly host = new ManualClock();
    readonly clock = ActiveClock.create(this.host);

    async run(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
            await this.host.advance(tickMilliseconds);
            this.clock.tick();
        }
    }

    /** The timers that became due meanwhile run before the first tick. */
    async standStill(milliseconds: number): Promise<void> {
        this.host.freeze(milliseconds);
        await this.host.advance(0);
        this.clock.tick();
    }
}

describe("a clock of the time in which a process was active", () => {
    it("counts while the event loop turns", async () => {
        const process = new Process();
        await process.run(1_000);
        expect(process.clock.monotonic()).to.equal(1_000);
    });

    // Guards against others that are taken for silent, since nobody read what they sent.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`runs no timer for a standstill of ${milliseconds} ms, or just after it`, async () => {
            const process = new Process();
            let ended = 0;
            process.clock.after(1_200, () => {
                ended += 1;
            });
            await process.run(1_180);
            await process.standStill(milliseconds);
            await process.run(240);
            expect(ended).to.equal(0);
            await process.run(100);
            expect(ended).to.equal(1);
        });
    }

    it("counts a process that is held back for most of each tenth of a second", async () => {
        const process = new Process();
        for (let passed = 0; passed < 1_000; passed += 100) {
            await process.standStill(100);
        }
        expect(process.clock.monotonic()).to.equal(1_000);
    });

    it("runs no timer that was cancelled", async () => {
        const process = new Process();
        let ended = 0;
        const cancel = process.clock.after(100, () => {
            ended += 1;
        });
        await process.run(60);
        cancel();
        await process.run(1_000);
        expect(ended).to.equal(0);
    });
});
