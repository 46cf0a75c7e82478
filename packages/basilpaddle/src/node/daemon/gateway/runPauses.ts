import { StallDetector } from "../../coordination/index.js";
import type { ActiveClock, Clock } from "../../utils/index.js";

/** Time of a pause in which this process may have heard nothing, so that it still counts as one of the link: what a process that is held back is late by. */
const maxUnheardMilliseconds = 140;

/** The pauses in the events of one run. */
export class RunPauses {
    private readonly detector = StallDetector.create();
    private lastAt: number;
    private lastActive: number;

    private constructor(private readonly clock: Clock, private readonly activeClock: ActiveClock) {
        this.lastAt = clock.monotonic();
        this.lastActive = activeClock.monotonic();
    }

    /** `clock`: measures the pauses. `activeClock`: tells those of the link from standstills of this process. */
    static create(clock: Clock, activeClock: ActiveClock): RunPauses {
        return new RunPauses(clock, activeClock);
    }

    /** Records that events came; returns whether the link stalled before them. What came while this process stood still says nothing of it. */
    recordEvents(): boolean {
        const now = this.clock.monotonic();
        const active = this.activeClock.monotonic();
        const unheard = now - this.lastAt - (active - this.lastActive);
        this.lastAt = now;
        this.lastActive = active;
        return this.detector.recordEvent(now) && unheard <= maxUnheardMilliseconds;
    }

    /** The longest pause in milliseconds between events, standstills of this process included: its caller waited for it. */
    longest(): number {
        return this.detector.longest();
    }
}
