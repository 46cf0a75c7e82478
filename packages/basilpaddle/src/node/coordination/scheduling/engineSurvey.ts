import type { Announcement, LoadReport, View } from "../../protocol/index.js";
import type { Randomness } from "../../utils/index.js";
import type { Engine } from "../engine/engine.js";

/** Timeout of an engine's load report to a new scheduler. */
const surveyTimeoutMilliseconds = 500;
/** Number of decode engines queried for their load before a local decision, and the timeout of each query. */
const maxDecodeQueries = 8;
const queryTimeoutMilliseconds = 250;

/** Options of an engine survey. */
export type EngineSurveyOptions = {
    readonly view: () => View;
    /** Creates a client for an engine; the survey closes it. */
    readonly engineAt: (url: string) => Engine;
    readonly randomness: Randomness;
    /** Called with each report received. */
    readonly onReport: (pool: string, report: LoadReport) => void;
};

/** Queries engines for their load when the reports that they send periodically are missing or too old. */
export class EngineSurvey {
    private constructor(private readonly options: EngineSurveyOptions) {}

    static create(options: EngineSurveyOptions): EngineSurvey {
        return new EngineSurvey(options);
    }

    /** Queries all engines of a pool. */
    queryPool(pool: string): Promise<LoadReport | undefined>[] {
        return this.enginesOf(pool)
            .filter(({ state }) => state !== "gone")
            .map(({ announcement }) => this.query(announcement, surveyTimeoutMilliseconds));
    }

    /**
     * Queries some decode engines of a pool. Engines report to one daemon at a time, so the last reports that this daemon
     * received may be seconds old.
     */
    async queryDecodeEngines(pool: string): Promise<readonly LoadReport[]> {
        const ready = this.enginesOf(pool)
            .filter(({ announcement, state }) => announcement.role === "decode" && state === "ready");
        const startIndex = ready.length === 0 ? 0 : this.options.randomness.integer(0, ready.length - 1);
        const queried = [...ready.slice(startIndex), ...ready.slice(0, startIndex)].slice(0, maxDecodeQueries);
        const reports = await Promise.all(
            queried.map(({ announcement }) => this.query(announcement, queryTimeoutMilliseconds)),
        );
        return reports.filter(report => report !== undefined);
    }

    private enginesOf(pool: string) {
        return Object.values(this.options.view().backends)
            .filter(({ announcement }) => announcement.pool === pool && announcement.role !== "service");
    }

    private async query({ url, pool }: Announcement, timeout: number): Promise<LoadReport | undefined> {
        const engine = this.options.engineAt(url);
        try {
            const report = (await engine.load(timeout)).toMaybe().extract();
            if (report !== undefined && pool !== undefined) {
                this.options.onReport(pool, report);
            }
            return report;
        }
        finally {
            await engine.close();
        }
    }
}
