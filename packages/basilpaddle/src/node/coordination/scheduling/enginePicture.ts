import type { Announcement, LoadReport } from "../../protocol/index.js";
import type { EngineEntry } from "./scheduler.js";

/** Milliseconds for a prompt token until an engine reports its own. */
const usualPrefillTokenTime = 0.1;
/** Milliseconds between two tokens of an answer until an engine reports its own. */
const usualDecodeTokenTime = 30;

/** Milliseconds for which an engine gets no work after a first failure, and after many. */
const firstSuspicion = 1_000;
const mostSuspicion = 16_000;
/** Milliseconds that a single attempt has to show that an engine works again. */
const trialTime = 3_000;

/** Reports after a proof that may still tell of the time before it. */
const staleReports = 3;

/** What is believed of one engine: what the view says, what it reported last, and what was handed out since. */
export class EnginePicture {
    announcement: Announcement;
    state: EngineEntry["state"];
    report: LoadReport | undefined;
    reportedAt = -Infinity;
    /** Attempts that hold a slot there, by our own account. */
    readonly held = new Set<string>();
    /** Attempts in the last report that aren't ours. */
    foreign = 0;
    /** Slots that others must have taken when it last proved that it is full, and reports that have come since. */
    private foreignProved = 0;
    private reportsSinceProof = 0;
    /** When its link will have carried what was handed out so far. */
    linkFreeAt = 0;
    /** Failures since the last attempt that got on there, and until when it gets no work for them. */
    private failures = 0;
    private suspectUntil = 0;
    /** Milliseconds of prefill handed out and not yet reported done, by attempt. */
    private readonly work = new Map<string, number>();
    private workTotal = 0;
    private workSince = 0;

    private constructor(entry: EngineEntry) {
        this.announcement = entry.announcement;
        this.state = entry.state;
    }

    static create(entry: EngineEntry): EnginePicture {
        return new EnginePicture(entry);
    }

    get id(): string {
        return this.announcement.id;
    }

    get slots(): number {
        return this.announcement.slots;
    }

    /** Milliseconds for a prompt token, or between two tokens of an answer. */
    get tokenTime(): number {
        const reported = this.report?.tokenTime ?? 0;
        if (reported > 0) {
            return reported;
        }
        return this.announcement.role === "prefill" ? usualPrefillTokenTime : usualDecodeTokenTime;
    }

    /** Slots taken by anyone, as far as known. */
    get taken(): number {
        return this.held.size + Math.max(this.foreign, this.foreignProved);
    }

    /** Notes its proof that no slot was free for an attempt, which by our own account holds one there. */
    provedFull(attempt: string): void {
        const ours = this.held.size - (this.held.has(attempt) ? 1 : 0);
        this.foreignProved = Math.max(0, this.slots - ours);
        this.reportsSinceProof = 0;
    }

    /** Whether it carries the model in the version, with the adapter. */
    carries(model: string, adapter: string | undefined, version: string | undefined): boolean {
        return this.announcement.models.some(carried =>
            carried.name === model
            && (version === undefined || carried.version === version)
            && (adapter === undefined || carried.adapters.includes(adapter))
        );
    }

    /** Whether new work may be sent there. */
    takesWork(avoid: readonly string[], now: number): boolean {
        return this.state === "ready" && now >= this.suspectUntil && !avoid.includes(this.id);
    }

    /**
     * Notes that an attempt failed there. An engine whose link is stalled goes on reporting a light load; without this
     * it would get, and waste, one prefill after another.
     */
    failed(now: number): void {
        if (now >= this.suspectUntil) {
            this.suspectUntil = now + Math.min(mostSuspicion, firstSuspicion * 2 ** this.failures);
            this.failures++;
        }
    }

    /** Notes that an attempt is sent there; after a failure one at a time, until one has got on. */
    sent(now: number): void {
        if (this.failures > 0) {
            this.suspectUntil = now + trialTime;
        }
    }

    /** Notes that an attempt got on there. */
    succeeded(): void {
        this.failures = 0;
        this.suspectUntil = 0;
    }

    /** Takes a report unless a newer one came before; a restart empties the picture. Tells whether it was taken. */
    take(report: LoadReport, now: number): boolean {
        if (report.incarnation !== this.announcement.incarnation) {
            return false;
        }
        if (this.report !== undefined && report.sequence <= this.report.sequence) {
            return false;
        }
        this.report = report;
        this.reportedAt = now;
        this.reportsSinceProof++;
        if (this.reportsSinceProof >= staleReports) {
            this.foreignProved = 0;
        }
        return true;
    }

    /** Notes prefill work handed out. */
    addWork(attempt: string, milliseconds: number, now: number): void {
        if (this.work.size === 0) {
            this.workSince = now;
        }
        this.work.set(attempt, milliseconds);
        this.workTotal += milliseconds;
    }

    /** Notes that prefill work is done or cancelled. */
    endWork(attempt: string, now: number): void {
        const milliseconds = this.work.get(attempt);
        if (milliseconds === undefined) {
            return;
        }
        this.work.delete(attempt);
        this.workTotal = this.work.size === 0 ? 0 : this.workTotal - milliseconds;
        this.workSince = now;
    }

    /** Attempts whose prefill was handed out here and not yet reported done. */
    get outstanding(): number {
        return this.work.size;
    }

    /** When the prefill work handed out so far is expected to end. */
    readyAt(now: number): number {
        return this.work.size === 0 ? now : Math.max(now, this.workSince + this.workTotal);
    }

    /** Prefill work handed out after the last report, in milliseconds: what the report can't show yet. */
    get unreportedWork(): number {
        const known = new Set(this.report?.active ?? []);
        let total = 0;
        for (const [attempt, milliseconds] of this.work) {
            total += known.has(attempt) ? 0 : milliseconds;
        }
        return total;
    }
}
