import { maxReportedOrigins, type OriginReport, originsNotedSchema, type StreamOrigin } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { KnownDirectory } from "../gateway/index.js";

/** Timeout, number of attempts and pause of a report to a directory: its link may fail, or it may be starting. */
const reportTimeoutMilliseconds = 400;
const reportAttempts = 8;
const reportPauseMilliseconds = 100;
/** How long origins are collected for one report. */
const reportDelayMilliseconds = 1;

/** Origins that are reported together, and the directories that have acknowledged them. */
class OriginBatch {
    readonly origins: StreamOrigin[] = [];
    private readonly acknowledgedBy = new Set<string>();
    private readonly waiting = new Set<() => void>();

    static create(): OriginBatch {
        return new OriginBatch();
    }

    recordAcknowledgement(directory: string): void {
        this.acknowledgedBy.add(directory);
        this.waiting.forEach(review => review());
    }

    /** Resolves once so many directories have acknowledged it, or the time is up; returns whether they have. */
    acknowledged(required: number, timeout: number, clock: Clock): Promise<boolean> {
        const isAcknowledged = (): boolean => this.acknowledgedBy.size >= required;
        if (isAcknowledged()) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const settle = (result: boolean): void => {
                cancel();
                this.waiting.delete(review);
                resolve(result);
            };
            const review = (): void => {
                if (isAcknowledged()) {
                    settle(true);
                }
            };
            const cancel = clock.after(timeout, () => settle(false));
            this.waiting.add(review);
        });
    }
}

/** A report under way. */
export type ReportedOrigin = {
    /**
     * Resolves once enough directories know the origin, or after so many milliseconds, or at once if too few are reached; returns
     * whether they do. Enough are more than half; all, if one of them may know an earlier binding.
     */
    readonly acknowledged: (timeout: number) => Promise<boolean>;
};

/** Dependencies of `OriginReporter`. */
export type OriginReporterOptions = {
    readonly directories: () => readonly KnownDirectory[];
    readonly clock: Clock;
    readonly logger: Logger;
};

/** Reports the origins of streams to every directory, until each has acknowledged them. */
export class OriginReporter {
    private collecting: OriginBatch | undefined;
    private closed = false;

    private constructor(private readonly options: OriginReporterOptions) {}

    static create(options: OriginReporterOptions): OriginReporter {
        return new OriginReporter(options);
    }

    /** Reports an origin, those of a short time together. */
    report(origin: StreamOrigin): ReportedOrigin {
        const { clock, directories } = this.options;
        const isFull = (this.collecting?.origins.length ?? 0) >= maxReportedOrigins;
        const batch = isFull ? this.startBatch() : this.collecting ?? this.startBatch();
        batch.origins.push(origin);
        return {
            acknowledged: async timeout => {
                const known = directories();
                const required = origin.binding > 1 ? known.length : Math.floor(known.length / 2) + 1;
                const reached = known.filter(directory => directory.reached).length;
                return batch.acknowledged(required, reached < required ? 0 : timeout, clock);
            },
        };
    }

    /** Sends origins to one directory, `maxReportedOrigins` at most. */
    resend(directory: KnownDirectory, origins: readonly StreamOrigin[]): void {
        if (origins.length > 0) {
            const batch = OriginBatch.create();
            batch.origins.push(...origins);
            void this.send(directory, batch);
        }
    }

    /** Stops sending. */
    close(): void {
        this.closed = true;
    }

    private startBatch(): OriginBatch {
        const batch = OriginBatch.create();
        this.collecting = batch;
        this.options.clock.after(reportDelayMilliseconds, () => {
            if (this.collecting === batch) {
                this.collecting = undefined;
            }
            this.options.directories().forEach(directory => void this.send(directory, batch));
        });
        return batch;
    }

    private async send(directory: KnownDirectory, batch: OriginBatch): Promise<void> {
        const report: OriginReport = { kind: "origins", origins: batch.origins };
        for (let attempt = 0; attempt < reportAttempts && !this.closed; attempt++) {
            const answer = await directory.link.request(report, reportTimeoutMilliseconds);
            // A directory of an earlier release answers nothing to a message that it doesn't know.
            if (originsNotedSchema.safeParse(answer.toMaybe().extract()).success) {
                batch.recordAcknowledgement(directory.name);
                return;
            }
            await new Promise<void>(resolve => this.options.clock.after(reportPauseMilliseconds, resolve));
        }
        this.options.logger.warn("a directory didn't acknowledge where streams began", {
            directory: directory.name,
            streams: report.origins.length,
        });
    }
}
