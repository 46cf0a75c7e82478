import { expect } from "chai";
import { ManualProcess } from "../../../../../../simulation/manualProcess.js";

describe("a clock of the time in which a process was active", () => {
    it("counts while the event loop turns", async () => {
        const process = new ManualProcess();
        await process.run(1_000);
        expect(process.clock.monotonic()).to.equal(1_000);
    });

    // Guards against others that are taken for silent, since nobody read what they sent.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`runs no timer for a standstill of ${milliseconds} ms, or just after it`, async () => {
            const process = new ManualProcess();
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
        const process = new ManualProcess();
        for (let passed = 0; passed < 1_000; passed += 100) {
            await process.standStill(100);
        }
        expect(process.clock.monotonic()).to.equal(1_000);
    });

    it("runs no timer that was cancelled", async () => {
        const process = new ManualProcess();
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
