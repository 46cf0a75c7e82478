import { StallDetector, WritingMeter } from "../../coordination/index.js";
import type { RunWriting, ServerAnnouncement, ServiceRule } from "../../protocol/index.js";
import { type BackendAnswer, discard, readWholeBody } from "../backends/index.js";
import type { BackendSender, ExchangeOptions } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import type { PrefilledPrompt } from "./prefilledPrompt.js";
import type { RunEnd } from "./runEnd.js";
import { SilenceWatch } from "./silenceWatch.js";
import { guaranteesNotRun } from "./statuses.js";
import type { StreamBinding } from "./streamBinding.js";
import type { StreamRelay } from "./streamRelay.js";
import { TimeLimit } from "./timeLimit.js";

/** Idle time of a stream after which its run is aborted, if it may be resumed on another engine. */
const idleLimitMilliseconds = 1_200;
/** Timeout of the head of a run's answer, if the run may be repeated elsewhere: an engine whose host failed sends nothing. */
const headLimitMilliseconds = 1_500;
const minFailureStatus = 400;
const gaveUpCause = "the engine stopped sending";

/** What all runs of one request have in common. */
export type EngineRunOptions = {
    readonly exchange: ExchangeOptions;
    readonly sender: BackendSender;
    readonly request: CallerRequest;
    readonly service: ServiceRule;
    readonly relay: StreamRelay;
    readonly binding: StreamBinding;
    /** Steps of the request, for its log line. */
    readonly steps: string[];
};

/** One run of a request at a decode engine. */
export class EngineRun {
    private writingSince: number | undefined;
    private hadBegun = false;
    /** When something last came from the engine, or was first expected: by the host's clock, and by that of this process. */
    private heardAt = { host: 0, active: 0 };
    private isGivenUp = false;
    private readonly meter = WritingMeter.create();

    private constructor(
        private readonly options: EngineRunOptions,
        private readonly engine: ServerAnnouncement,
        /** Whether the run may be resumed on another engine if this one is lost. */
        private readonly mayResume: boolean,
    ) {}

    /** `mayResume`: whether the run may be resumed on another engine if this one is lost. */
    static create(options: EngineRunOptions, engine: ServerAnnouncement, mayResume: boolean): EngineRun {
        return new EngineRun(options, engine, mayResume);
    }

    /** Whether it has written for long enough that its prompt isn't suspected if its engine crashes. */
    hasBegun(): boolean {
        return this.hadBegun;
    }

    /** Its writing since the previous report; undefined if there was none. */
    takeReport(): RunWriting | undefined {
        return this.meter.takeReport();
    }

    /** Sends the run and forwards its events. `prompt`: the KV cache to fetch; undefined if the engine runs the prefill. */
    async execute(prompt: PrefilledPrompt | undefined): Promise<RunEnd> {
        const { exchange, sender, request, service, relay, binding } = this.options;
        if (binding.bindTo(this.engine)) {
            this.options.steps.push(`bound ${binding.version}`);
        }
        const limit = TimeLimit.create(exchange.clock, request.remainingTime(), request.disconnected.signal);
        const silence = this.watch("head", headLimitMilliseconds, limit);
        try {
            const sent = await sender.send(request, this.engine, service, {
                ...prompt === undefined ? {} : { source: { address: prompt.engine.address, handle: prompt.handle } },
                ...relay.lastEvent() === undefined ? {} : { resumeAfter: String(relay.lastEvent()) },
            }, limit.signal);
            silence?.close();
            if (sent.kind === "notRun") {
                const { cause, unreachable, lostOnPath } = sent;
                return { kind: "turnedAway", cause, unreachable, lostOnPath };
            }
            if (sent.kind === "unknown") {
                return { kind: "lost", cause: this.isGivenUp ? gaveUpCause : sent.cause };
            }
            const { answer, metadata } = sent;
            if (answer.status >= minFailureStatus) {
                return await this.forwardFailure(answer);
            }
            if (!metadata.sealed) {
                discard(answer);
                return { kind: "lost", cause: "the answer has no seal" };
            }
            return await this.stream(answer, sent.via, limit);
        }
        finally {
            silence?.close();
            limit.clear();
        }
    }

    /** Forwards the engine's error, unless the answer has begun or the status would guarantee that the request didn't run. */
    private async forwardFailure(answer: BackendAnswer): Promise<RunEnd> {
        const { request, exchange: { answers } } = this.options;
        const body = await readWholeBody(answer, { server: this.engine, limits: answers, bound: "shortBodyBytes" });
        const { status } = answer;
        if (body === undefined || guaranteesNotRun(status) || request.hasAnswerBegun()) {
            return { kind: "lost", cause: `the engine answered ${status}` };
        }
        request.sendAnswer(answer, body, answers.held);
        return { kind: "failureGiven" };
    }

    private async stream(answer: BackendAnswer, via: string | undefined, limit: TimeLimit): Promise<RunEnd> {
        const { exchange: { links, clock, crashes, ends, answers }, request, relay, binding, steps } = this.options;
        if (!await binding.awaitReport()) {
            discard(answer);
            return { kind: "lost", cause: "directories may take the stream for one of another version" };
        }
        const stallDetector = StallDetector.create();
        let receivedAt = clock.monotonic();
        const onBytes = (events: number): void => {
            receivedAt = clock.monotonic();
            this.recordHeard();
            links.countEvent(this.engine, stallDetector.recordEvent(receivedAt), receivedAt);
            this.recordWriting(clock.monotonic());
            this.meter.recordEvents(events, clock.monotonic());
        };
        const silence = this.watch("events", idleLimitMilliseconds, limit);
        const end = await relay.forward(answer, silence, limit.signal, onBytes);
        silence?.close();
        if (stallDetector.longest() > (request.route.gap ?? Number.POSITIVE_INFINITY)) {
            steps.push(`pause ${Math.round(stallDetector.longest())}`);
        }
        if (end.kind === "broken") {
            if (end.exceeded !== undefined) {
                answers.exceeded(this.engine, end.exceeded.bound, end.exceeded.bytes);
            }
            return { kind: "lost", cause: this.isGivenUp ? gaveUpCause : end.cause };
        }
        const pause = Math.max(stallDetector.longest(), clock.monotonic() - receivedAt);
        const ended = { server: this.engine, service: this.options.service, via, pause };
        if (!answer.framed && await ends.mayBeCut(ended)) {
            return { kind: "lost", cause: "the engine ended" };
        }
        request.finishStream();
        this.reportBegun();
        crashes.reportAnswered(request);
        return { kind: "done" };
    }

    /** Gives the run up once its engine is silent for that long, if it may be resumed on another one. */
    private watch(awaited: "head" | "events", milliseconds: number, limit: TimeLimit): SilenceWatch | undefined {
        this.recordHeard();
        if (!this.mayResume) {
            return undefined;
        }
        return SilenceWatch.create(this.options.exchange.loop.activeClock, milliseconds, {
            onSilent: () => {
                this.logGivenUp(awaited);
                this.isGivenUp = true;
                limit.expire();
            },
            onHeard: () => undefined,
        });
    }

    private recordHeard(): void {
        const { clock, loop } = this.options.exchange;
        this.heardAt = { host: clock.monotonic(), active: loop.activeClock.monotonic() };
    }

    /** Logs that it is given up for silence, and for how much of that this process could have heard it. */
    private logGivenUp(awaited: "head" | "events"): void {
        const { exchange: { clock, loop, logger, metrics }, request, relay } = this.options;
        metrics.count("basilpaddle_silent_runs_total", { awaited });
        logger.warn("a run is given up, since nothing comes from its engine", {
            request: request.attempt,
            engine: this.engine.id,
            awaited,
            silence: Math.round(clock.monotonic() - this.heardAt.host),
            active: Math.round(loop.activeClock.monotonic() - this.heardAt.active),
            events: relay.events(),
        });
    }

    private recordWriting(now: number): void {
        this.writingSince ??= now;
        if (now - this.writingSince >= this.options.exchange.crashes.begunAfter) {
            this.reportBegun();
        }
    }

    private reportBegun(): void {
        if (!this.hadBegun) {
            this.hadBegun = true;
            this.options.exchange.crashes.reportBegun(this.options.request);
        }
    }
}
