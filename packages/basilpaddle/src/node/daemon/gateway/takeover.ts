import type { Logger, Metrics } from "../../utils/index.js";
import type { EngineRun } from "./engineRun.js";
import type { RoundEnd, SuccessorRound } from "./round.js";
import type { RunEnd } from "./runEnd.js";
import type { SilenceListener } from "./silenceWatch.js";

/** Dependencies of a takeover. */
export type TakeoverOptions = {
    readonly request: string;
    readonly engine: string;
    /** Whether the engine is known to have ended. */
    readonly hasEnded: () => boolean;
    /** Whether one more engine may be sent the request. */
    readonly mayContinue: () => boolean;
    /** Plays rounds until one of them was sent to an engine, or no further one is possible. */
    readonly play: (round: SuccessorRound) => Promise<RoundEnd>;
    /** Aborts when the request has ended. */
    readonly signal: AbortSignal;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Looks for a run that continues a silent one. The silent one goes on until another engine answers: it may be heard again, and a search
 * may end in a refusal, which would break off an answer whose engine only paused.
 */
export class Takeover implements SilenceListener {
    private run: EngineRun | undefined;
    private search: { readonly controller: AbortController; readonly end: Promise<RoundEnd>; } | undefined;
    private state: "runs" | "silent" | "ended" = "runs";

    private constructor(private readonly options: TakeoverOptions) {}

    static create(options: TakeoverOptions): Takeover {
        return new Takeover(options);
    }

    /** Sets the run, before it begins. */
    observe(run: EngineRun): void {
        this.run = run;
    }

    /** Begins a search, unless one is in progress or no engine may be sent the request any more. */
    onSilent(): void {
        if (this.options.hasEnded()) {
            void this.run?.abandon();
            return;
        }
        this.state = "silent";
        if (this.search !== undefined || !this.options.mayContinue()) {
            return;
        }
        const controller = new AbortController();
        const signal = AbortSignal.any([controller.signal, this.options.signal]);
        const end = this.find(signal).finally(() => {
            if (this.state !== "ended") {
                this.search = undefined;
            }
        });
        this.search = { controller, end };
    }

    /** Ends the search: the run goes on. */
    onHeard(): void {
        this.state = "runs";
        this.search?.controller.abort();
    }

    /**
     * Records how the run ended. Resolves to the end of the rounds that continue it, if it is lost while they are played; undefined if none
     * are, or if they were ended because it had been heard again.
     */
    async end({ kind }: RunEnd): Promise<RoundEnd | undefined> {
        this.state = "ended";
        const { search } = this;
        if (kind !== "lost") {
            search?.controller.abort();
        }
        const end = await search?.end;
        return search?.controller.signal.aborted === true ? undefined : end;
    }

    private async find(signal: AbortSignal): Promise<RoundEnd> {
        const { engine: silentEngine, play, request, logger, metrics } = this.options;
        const isOpen = (): boolean => this.state === "silent";
        const takeOver = (): Promise<boolean> => signal.aborted ? Promise.resolve(false) : this.takeOver();
        try {
            const end = await play({ signal, silentEngine, isOpen, takeOver });
            if (isOpen() && !signal.aborted) {
                metrics.count("basilpaddle_silent_runs_total", { outcome: "kept" });
                const cause = "cause" in end ? end.cause : undefined;
                logger.warn("no engine continues a silent run", { request, engine: silentEngine, cause });
            }
            return end;
        }
        catch (error) {
            logger.error("a search for an engine failed by a fault of this daemon", { request, error });
            return { kind: "failed", status: 502, cause: "internal error of the gateway" };
        }
    }

    private async takeOver(): Promise<boolean> {
        const { request, engine, logger, metrics } = this.options;
        if (this.state !== "silent") {
            return this.state === "ended";
        }
        this.state = "ended";
        metrics.count("basilpaddle_silent_runs_total", { outcome: "continued" });
        logger.warn("another engine continues a silent run", { request, engine });
        const end = await this.run?.abandon();
        return end === undefined || end.kind === "lost" || end.kind === "turnedAway";
    }
}
