import type { ListenStatus } from "../../transport/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { EngineRun } from "./engineRun.js";
import type { RoundEnd, SuccessorRound } from "./round.js";
import type { RunEnd } from "./runEnd.js";
import type { SilenceListener } from "./silenceWatch.js";

/** How long two runs of one attempt may be in progress: both work on it, and only one is used. */
const maxOverlapMilliseconds = 350;

/** Dependencies of a takeover. */
export type TakeoverOptions = {
    readonly request: string;
    readonly engine: string;
    /** Whether the engine is known to have ended. */
    readonly hasEnded: () => boolean;
    /** Whether the engine's host accepts connections. */
    readonly listenStatus: () => Promise<ListenStatus>;
    /** Whether one more engine may be sent the request. */
    readonly mayContinue: () => boolean;
    /** Plays rounds until one of them was sent to an engine, or no further one is possible. */
    readonly play: (round: SuccessorRound) => Promise<RoundEnd>;
    /** Aborts when the request has ended, or the round that the run belongs to. */
    readonly signal: AbortSignal;
    readonly clock: Clock;
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
    private cancelDecision: () => void = () => undefined;

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
        if (this.state === "silent") {
            this.state = "runs";
            this.search?.controller.abort();
        }
    }

    /**
     * Records how the run ended. Resolves to the end of the rounds that continue it, if it answers nothing more while they are played;
     * undefined if none are, or if they were ended because it had been heard again.
     */
    async end({ kind }: RunEnd): Promise<RoundEnd | undefined> {
        this.state = "ended";
        const { search } = this;
        if (kind === "done" || kind === "failureGiven") {
            search?.controller.abort();
        }
        const end = await search?.end;
        this.cancelDecision();
        return search?.controller.signal.aborted === true ? undefined : end;
    }

    private async find(signal: AbortSignal): Promise<RoundEnd> {
        const { engine, play, request, logger, metrics } = this.options;
        const isOpen = (): boolean => this.state === "silent";
        const takeOver = (): Promise<boolean> => signal.aborted ? Promise.resolve(false) : this.takeOver();
        try {
            const end = await play({ signal, isOpen, hasBegun: () => this.decideSoon(), takeOver });
            if (isOpen()) {
                metrics.count("basilpaddle_silent_runs_total", { outcome: "kept" });
                const cause = "cause" in end ? end.cause : undefined;
                logger.warn("no engine continues a silent run", { request, engine, cause });
            }
            return end;
        }
        catch (error) {
            logger.error("a search for an engine failed by a fault of this daemon", { request, error });
            return { kind: "failed", status: 502, cause: "internal error of the gateway" };
        }
    }

    /**
     * Lets both runs go on for a short time. If the other engine hasn't answered by then, the silent run goes on if its host can be reached,
     * and gives way if it can't.
     */
    private decideSoon(): void {
        let status: ListenStatus = "unknown";
        void this.options.listenStatus().then(known => {
            status = known;
        });
        this.cancelDecision();
        this.cancelDecision = this.options.clock.after(maxOverlapMilliseconds, () => {
            if (this.state !== "silent") {
                return;
            }
            if (status === "yes") {
                this.search?.controller.abort();
            }
            else {
                void this.takeOver();
            }
        });
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
