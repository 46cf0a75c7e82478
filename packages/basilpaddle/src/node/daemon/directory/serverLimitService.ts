import { RequestPacer, ServerLimits } from "../../coordination/index.js";
import type { AdmissionReply, LimitObservation, ServerLimitMessage } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";

/** The limits that all gateways have to know, and the number of their last change. */
export type PublishedLimits = { latestChange(): number; recent(): readonly LimitObservation[]; };

/** What a directory publishes that doesn't lead. */
export const noServerLimits: PublishedLimits = { latestChange: () => 0, recent: () => [] };

/** Dependencies of the service. */
export type ServerLimitServiceOptions = {
    /** Called when gateways have to learn of a change. */
    readonly onChanged: () => void;
    readonly clock: Clock;
    readonly logger: Logger;
};

/** Keeps the limits that backend servers name for all gateways, and admits their requests, while this directory leads. */
export class ServerLimitService implements PublishedLimits {
    private readonly limits = ServerLimits.create();
    private readonly pacer = RequestPacer.create();

    private constructor(private readonly options: ServerLimitServiceOptions) {}

    static create(options: ServerLimitServiceOptions): ServerLimitService {
        return new ServerLimitService(options);
    }

    /** Handles a message from a gateway; undefined for messages that have no reply. */
    handle(message: ServerLimitMessage): AdmissionReply | undefined {
        if (message.kind === "limits") {
            message.observed.forEach(observed => this.observe(observed));
            return undefined;
        }
        const { observed: { server }, within } = message;
        this.observe(message.observed);
        const limit = this.limits.limitOf(server);
        const admission = limit === undefined
            ? { admitted: true, wait: 0 } as const
            : this.pacer.admit(server, limit, within, this.now());
        return { kind: "admission", admission };
    }

    /** Requests per second that a server takes from all gateways together; undefined if it names no limit. */
    limitOf(server: string): number | undefined {
        return this.limits.limitOf(server);
    }

    /** Number of the last change of the limits. */
    latestChange(): number {
        return this.limits.latestChange();
    }

    /** The current limits, and those that ended a moment ago. */
    recent(): readonly LimitObservation[] {
        return this.limits.recent(this.now());
    }

    /** Updates the gauges of a leader. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_servers_with_limit", this.limits.count());
    }

    private observe({ server, limit, age }: LimitObservation): void {
        if (this.limits.observe(server, limit, this.now() - age)) {
            this.options.logger.info("the limit that a backend server names changed", {
                server,
                limit,
                age: Math.round(age),
                source: "gateway",
            });
            this.options.onChanged();
        }
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
