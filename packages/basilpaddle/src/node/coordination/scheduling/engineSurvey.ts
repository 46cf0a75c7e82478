import type { Announcement, LoadReport, View } from "../../protocol/index.js";
import type { Randomness } from "../../utils/index.js";
import type { Engine } from "../engine/engine.js";

/** Milliseconds for an engine to tell its load to a new scheduler. */
const surveyTimeout = 500;
/** Decode engines that a daemon asks for their load before it chooses alone, and milliseconds for their answers. */
const mostAsked = 8;
const askTimeout = 250;

/** What a survey of engines needs of its daemon. */
export type EngineSurveyParts = {
    readonly view: () => View;
    /** Makes a client for an engine; the survey closes it. */
    readonly engineAt: (url: string) => Engine;
    readonly randomness: Randomness;
    /** Is told each report. */
    readonly heard: (pool: string, report: LoadReport) => void;
};

/** Asks engines for their load, where what they last reported by themselves isn't enough. */
export class EngineSurvey {
    private constructor(private readonly parts: EngineSurveyParts) {}

    static create(parts: EngineSurveyParts): EngineSurvey {
        return new EngineSurvey(parts);
    }

    /** Asks all engines of a pool. */
    askAll(pool: string): Promise<LoadReport | undefined>[] {
        return this.enginesOf(pool)
            .filter(({ state }) => state !== "gone")
            .map(({ announcement }) => this.ask(announcement, surveyTimeout));
    }

    /** Asks some decode engines of a pool: they report to one daemon at a time, what this one last heard may be seconds old. */
    async askDecodes(pool: string): Promise<readonly LoadReport[]> {
        const ready = this.enginesOf(pool)
            .filter(({ announcement, state }) => announcement.role === "decode" && state === "ready");
        const first = ready.length === 0 ? 0 : this.parts.randomness.integer(0, ready.length - 1);
        const asked = [...ready.slice(first), ...ready.slice(0, first)].slice(0, mostAsked);
        const reports = await Promise.all(asked.map(({ announcement }) => this.ask(announcement, askTimeout)));
        return reports.filter(report => report !== undefined);
    }

    private enginesOf(pool: string) {
        return Object.values(this.parts.view().backends)
            .filter(({ announcement }) => announcement.pool === pool && announcement.role !== "service");
    }

    private async ask({ url, pool }: Announcement, timeout: number): Promise<LoadReport | undefined> {
        const engine = this.parts.engineAt(url);
        try {
            const report = (await engine.load(timeout)).toMaybe().extract();
            if (report !== undefined && pool !== undefined) {
                this.parts.heard(pool, report);
            }
            return report;
        }
        finally {
            await engine.close();
        }
    }
}
