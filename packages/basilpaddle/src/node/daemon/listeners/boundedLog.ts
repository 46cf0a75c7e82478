import type { Clock, Logger } from "../../utils/index.js";

const intervalMilliseconds = 1_000;
/** Lines of one message in each interval. */
const maxLines = 5;

/** Writes a bounded number of lines of each message in a second, and how many were left out. */
export class BoundedLog {
    private readonly counts = new Map<string, number>();
    private cancelTimer: (() => void) | undefined;

    private constructor(private readonly logger: Logger, private readonly clock: Clock) {}

    static create(logger: Logger, clock: Clock): BoundedLog {
        return new BoundedLog(logger, clock);
    }

    /** Writes a line, unless too many of the same message were written just now. */
    warn(message: string, fields: Readonly<Record<string, unknown>>): void {
        const count = (this.counts.get(message) ?? 0) + 1;
        this.counts.set(message, count);
        if (count <= maxLines) {
            this.logger.warn(message, fields);
        }
        this.cancelTimer ??= this.clock.after(intervalMilliseconds, () => this.endInterval());
    }

    private endInterval(): void {
        this.cancelTimer = undefined;
        this.counts.forEach((count, message) => {
            if (count > maxLines) {
                this.logger.warn("lines were left out", { of: message, count: count - maxLines });
            }
        });
        this.counts.clear();
    }
}
