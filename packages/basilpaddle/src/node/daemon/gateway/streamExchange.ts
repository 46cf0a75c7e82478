import type { ServiceRule } from "../../protocol/index.js";
import type { ExchangeOptions } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import type { PlacementClient } from "./placementClient.js";
import { endUnserved } from "./refusal.js";
import type { RoundEnd } from "./round.js";
import { retryAfterUnknown, StreamBinding } from "./streamBinding.js";
import { type RoundGateway, StreamRounds } from "./streamRounds.js";
import type { StreamVersions } from "./streamVersions.js";

/** Processes one request on the engines of a pool, in rounds of a placement, a prefill and a run. */
export class StreamExchange {
    private readonly steps: string[] = [];
    private readonly binding: StreamBinding;
    private readonly rounds: StreamRounds;

    private constructor(
        private readonly options: ExchangeOptions,
        placementClient: PlacementClient,
        gateway: RoundGateway,
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
        versions: StreamVersions,
    ) {
        this.binding = StreamBinding.create(versions, request, service.name);
        const { binding, steps } = this;
        this.rounds = StreamRounds.create({
            exchange: options,
            placementClient,
            gateway,
            request,
            service,
            binding,
            steps,
        });
    }

    static create(
        options: ExchangeOptions,
        placementClient: PlacementClient,
        gateway: RoundGateway,
        request: CallerRequest,
        service: ServiceRule,
        versions: StreamVersions,
    ): StreamExchange {
        return new StreamExchange(options, placementClient, gateway, request, service, versions);
    }

    /** Engines that were used, with their results, for the log. */
    trace(): readonly string[] {
        return this.steps;
    }

    /** Processes the request until it is answered, refused or failed. */
    async run(): Promise<void> {
        const { options, request } = this;
        options.retryAllowance.recordRequest(this.service.name);
        if (this.binding.resumesStream) {
            await this.resolveVersion();
        }
        try {
            while (!request.isDisconnected() && request.outcome() === undefined) {
                this.conclude(await this.rounds.play());
            }
        }
        finally {
            this.rounds.close();
            if (this.binding.resumesStream) {
                const outcome = request.outcome()?.end ?? "callerGone";
                options.metrics.count("basilpaddle_resumed_streams_ended_total", {
                    service: this.service.name,
                    outcome,
                });
            }
        }
    }

    /** Finds the version that began the stream; refuses the request if nobody knows it, since any other one would corrupt the stream. */
    private async resolveVersion(): Promise<void> {
        const { clock } = this.options;
        const startedAt = clock.monotonic();
        const origin = await this.binding.resolve();
        const milliseconds = Math.round(clock.monotonic() - startedAt);
        if (origin.kind === "known") {
            this.steps.push(`resumes ${origin.version} ${origin.source} ${milliseconds}`);
            return;
        }
        this.steps.push(`resumes unknown ${milliseconds}`);
        this.conclude({ kind: "refused", comeBackIn: retryAfterUnknown(origin), cause: origin.cause });
    }

    private conclude(end: RoundEnd): void {
        const { request } = this;
        if (request.isDisconnected()) {
            return;
        }
        if (end.kind === "failed") {
            request.fail(end.status, end.cause);
        }
        if (end.kind === "refused") {
            endUnserved(request, this.rounds.haveRun(), end);
        }
    }
}
