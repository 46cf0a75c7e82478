import type { PlacementRequest } from "../../protocol/index.js";
import type { Logger, Metrics } from "../../utils/index.js";

/** Highest priority number in labels and log lines; all above it are counted together. */
export const maxRank = 9;

/** Why a placement queue refused a request. */
export type RefusalCause = "gaveWay" | "noRoom" | "noEngine" | "versionGone";

/** A refusal with what was known when it was decided. */
export type QueueRefusal = {
    readonly request: PlacementRequest;
    readonly cause: RefusalCause;
    /** The priority that displaced it. */
    readonly gaveWayTo?: number | undefined;
    /** Tokens of KV cache of the requests ahead of it. */
    readonly tokensAhead: number;
    /** Forecast milliseconds until its first event; infinite without engines. */
    readonly firstEventIn: number;
};

/** A placement, with the forecast at its arrival and what came of it. */
export type QueuePlacement = {
    readonly request: PlacementRequest;
    /** Milliseconds from its arrival to its first event, as forecast then; undefined if it was placed at once. */
    readonly forecast?: number | undefined;
    /** The same with the time that it waited, and the forecast of its prefill when it was placed. */
    readonly outcome: number;
};

/** Receives what a placement queue decided, for logs and metrics. */
export abstract class QueueObserver {
    abstract placed(placement: QueuePlacement): void;
    abstract refused(refusal: QueueRefusal): void;
}

/** Discards everything. */
export class SilentQueueObserver extends QueueObserver {
    static create(): SilentQueueObserver {
        return new SilentQueueObserver();
    }

    override placed(): void {}

    override refused(): void {}
}

/** Counts placements and refusals by priority, and logs each refusal. */
export class QueueRecorder extends QueueObserver {
    private constructor(private readonly logger: Logger, private readonly metrics: Metrics) {
        super();
    }

    static create(logger: Logger, metrics: Metrics): QueueRecorder {
        return new QueueRecorder(logger, metrics);
    }

    override placed({ request, forecast, outcome }: QueuePlacement): void {
        const { service, priority } = request;
        this.metrics.count("basilpaddle_placements_total", { service, rank: rankLabel(priority) });
        if (forecast !== undefined && Number.isFinite(forecast)) {
            this.metrics.observe("basilpaddle_placement_forecast_milliseconds", forecast, { service });
            this.metrics.observe("basilpaddle_placement_outcome_milliseconds", outcome, { service });
        }
    }

    override refused({ request, cause, gaveWayTo, tokensAhead, firstEventIn }: QueueRefusal): void {
        const { service, priority, attempt } = request;
        this.metrics.count("basilpaddle_placements_refused_total", { service, rank: rankLabel(priority), cause });
        this.logger.info("placement refused", {
            request: attempt,
            service,
            rank: priority,
            cause,
            gaveWayTo,
            tokensAhead,
            firstEventIn: Number.isFinite(firstEventIn) ? Math.round(firstEventIn) : undefined,
        });
    }
}

/** The label of a priority in metrics. */
export function rankLabel(priority: number): string {
    return String(Math.min(maxRank, priority));
}
