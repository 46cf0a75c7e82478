import type { CrashRecord, CrashReport } from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** Timeout, number of attempts and pause of a crash report to a directory: its link may fail, or it may be starting. */
const reportTimeoutMilliseconds = 400;
const reportAttempts = 8;
const reportPauseMilliseconds = 100;
/** How long crash records are collected for one report: one engine's crash ends dozens of runs. */
const reportDelayMilliseconds = 10;
/** Maximum number of records that are resent to a directory after its restart: hundreds of gateways resend theirs at once. */
const maxResentRecords = 200;

type ReportedDirectory = { readonly name: string; readonly link: Link; };

/** Dependencies of `CrashReports`. */
export type CrashReportsOptions = {
    readonly directories: () => readonly ReportedDirectory[];
    /** The records to send to a directory after its restart. */
    readonly knownCrashes: () => readonly CrashRecord[];
    readonly clock: Clock;
    readonly logger: Logger;
};

/** Sends crash histories of requests to the directories, until each has acknowledged them. */
export class CrashReports {
    private unreported: CrashRecord[] = [];
    private closed = false;

    private constructor(private readonly options: CrashReportsOptions) {}

    static create(options: CrashReportsOptions): CrashReports {
        return new CrashReports(options);
    }

    /** Reports records to every directory, those of a short time together. */
    report(records: readonly CrashRecord[]): void {
        if (this.unreported.length === 0) {
            this.options.clock.after(reportDelayMilliseconds, () => this.sendUnreported());
        }
        this.unreported.push(...records);
    }

    /** Sends the known records to a directory that has started anew. */
    resendKnown(directory: ReportedDirectory): void {
        const records = this.options.knownCrashes().slice(0, maxResentRecords);
        if (records.length > 0) {
            void this.send(directory, { kind: "crashes", records: [...records] });
        }
    }

    /** Stops sending. */
    close(): void {
        this.closed = true;
    }

    private sendUnreported(): void {
        const records = this.unreported;
        this.unreported = [];
        this.options.directories().forEach(directory => void this.send(directory, { kind: "crashes", records }));
    }

    private async send(directory: ReportedDirectory, report: CrashReport): Promise<void> {
        for (let attempt = 0; attempt < reportAttempts && !this.closed; attempt++) {
            const answer = await directory.link.request(report, reportTimeoutMilliseconds);
            if (answer.isRight()) {
                return;
            }
            await new Promise<void>(resolve => this.options.clock.after(reportPauseMilliseconds, resolve));
        }
        this.options.logger.warn("a directory didn't acknowledge a crash report", {
            directory: directory.name,
            requests: report.records.length,
        });
    }
}
