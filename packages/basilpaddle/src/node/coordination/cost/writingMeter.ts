import type { RunWriting } from "../../protocol/index.js";

/** Counts the events of one run, for reports of the speed of its engine. Each report covers the events since the previous one. */
export class WritingMeter {
    private startedAt: number | undefined;
    private lastAt = 0;
    private eventCount = 0;

    static create(): WritingMeter {
        return new WritingMeter();
    }

    /** Records events that arrived together. The first ones only begin the measurement. */
    recordEvents(count: number, now: number): void {
        if (count > 0) {
            this.eventCount += this.startedAt === undefined ? 0 : count;
            this.startedAt ??= now;
            this.lastAt = now;
        }
    }

    /** Events since the previous report and the milliseconds that they took; undefined if there were none. */
    takeReport(): RunWriting | undefined {
        if (this.startedAt === undefined || this.eventCount === 0 || this.lastAt <= this.startedAt) {
            return undefined;
        }
        const report = { events: this.eventCount, milliseconds: this.lastAt - this.startedAt };
        this.startedAt = this.lastAt;
        this.eventCount = 0;
        return report;
    }
}
