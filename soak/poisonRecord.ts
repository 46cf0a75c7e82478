import type { SoakRequest } from "./soakRequest.js";

/** The crash after which, and the time after it from which, requests with a poison part must not reach engines. */
const countedCrash = 5;
const lateMilliseconds = 3_000;
/** Time after that crash from which other streams must begin as often as before. */
const recoveredMilliseconds = 6_000;
/** Engines that may end under one part, late requests, and the share of the other streams that must begin. */
const maxCrashes = 8;
const maxLate = 3;
const minBegunShare = 0.9;

/** What engines and callers saw of prompts with poison parts. */
export type PoisonReport = {
    /** Engines that ended under such a part; requests with one that reached engines, in all and late. */
    readonly crashes: number;
    readonly reached: number;
    readonly late: number;
    /** Share of the other streams that began at the first attempt, before the first crash and while late requests are counted. */
    readonly begunBefore: number;
    readonly begunAfter: number;
};

/** Records prompts with one poison part that reach engines, and the engines that crash under it. */
export class PoisonRecord {
    private readonly crashTimes: number[] = [];
    /** When each attempt first reached an engine. */
    private readonly reachedAt = new Map<string, number>();
    private readonly sent = new Set<string>();

    static create(): PoisonRecord {
        return new PoisonRecord();
    }

    /** Records that a caller sent a prompt with a poison part. */
    requestSent(attempt: string): void {
        this.sent.add(attempt);
    }

    arrived(attempt: string, now: number): void {
        if (!this.reachedAt.has(attempt)) {
            this.reachedAt.set(attempt, now);
        }
    }

    crashed(now: number): void {
        this.crashTimes.push(now);
    }

    /** `isCounted`: whether a stream must begin: its caller is admitted and stays. */
    report(requests: readonly SoakRequest[], isCounted: (request: SoakRequest) => boolean): PoisonReport {
        const lateFrom = (this.crashTimes[countedCrash - 1] ?? Infinity) + lateMilliseconds;
        const firstCrashAt = this.crashTimes[0] ?? Infinity;
        const comparedFrom = (this.crashTimes[countedCrash - 1] ?? firstCrashAt) + recoveredMilliseconds;
        const lastSentAt = Math.max(...requests.filter(({ attempt }) => this.sent.has(attempt)).map(one => one.sentAt));
        const streams = requests.filter(request =>
            (request.kind === "once" || request.kind === "resumable") && !this.sent.has(request.attempt)
            && request.resumes === undefined && isCounted(request)
        );
        return {
            crashes: this.crashTimes.length,
            reached: this.reachedAt.size,
            late: [...this.reachedAt.values()].filter(at => at > lateFrom).length,
            begunBefore: begunShare(streams.filter(({ sentAt }) => sentAt < firstCrashAt)),
            begunAfter: begunShare(streams.filter(({ sentAt }) => sentAt > comparedFrom && sentAt <= lastSentAt)),
        };
    }
}

/** What is wrong with a run whose only unplanned fault are poison prompts. */
export function poisonViolations({ crashes, late, begunBefore, begunAfter }: PoisonReport): readonly string[] {
    return [
        ...crashes > maxCrashes ? [`${crashes} engines ended`] : [],
        ...late > maxLate ? [`${late} requests reached engines late`] : [],
        ...begunAfter < minBegunShare * begunBefore
            ? [`${begunAfter} of the other streams began, ${begunBefore} before`]
            : [],
    ];
}

/** Share of the streams that began; 1 if there are none. */
function begunShare(streams: readonly SoakRequest[]): number {
    const begun = streams.filter(({ end, versions }) =>
        versions.length > 0 || end?.kind === "answered" && end.status === 200
    );
    return streams.length === 0 ? 1 : Math.round(100 * begun.length / streams.length) / 100;
}
