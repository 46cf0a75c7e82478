import { ActiveClock } from "../packages/basilpaddle/src/node/utils/index.js";
import { ManualClock } from "./manualClock.js";

const tickMilliseconds = 20;

/** The clocks of a process that runs for a time, or stands still, when a test tells it to. */
export class ManualProcess {
    readonly host = new ManualClock();
    /** Stands still with the process. */
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
