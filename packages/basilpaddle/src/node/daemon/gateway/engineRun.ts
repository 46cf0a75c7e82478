import { WritingMeter } from "../../coordination/index.js";
import type { RunWriting, ServerAnnouncement, ServiceRule } from "../../protocol/index.js";
import { type BackendAnswer, discard, readWholeBody } from "../backends/index.js";
import type { BackendSender, ExchangeOptions, SendResult } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import type { PrefilledPrompt } from "./prefilledPrompt.js";
import type { RunEnd } from "./runEnd.js";
import { RunPauses } from "./runPauses.js";
import { type SilenceListener, SilenceWatch } from "./silenceWatch.js";
import { guaranteesNotRun } from "./statuses.js";
import type { StreamBinding } from "./streamBinding.js";
import type { StreamRelay } from "./streamRelay.js";
import { TimeLimit } from "./timeLimit.js";

/** Idle time of a stream after which its run counts as silent. */
const idleLimitMilliseconds = 1_200;
/** The same before the head of its answer. */
const headLimitMilliseconds = 1_500;
const minFailureStatus = 400;
const silentCause = "the engine stopped sending";

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

type AnsweredSend = Extract<SendResult, { kind: "answer"; }>;

/** What belongs to one run. */
export type RunRound = {
    /** Ends the run. */
    readonly signal: AbortSignal;
    /** Hears of the engine's silence; undefined if nobody asks. */
    readonly listener: SilenceListener | undefined;
    /** Called just before the first byte is sent. */
    readonly onFirstByte: () => void;
    /** Whether a failure of the engine may be the answer, which it may not if a run that this one is to continue goes on. */
    readonly mayFail: () => boolean;
    /** Asked once the engine answers with success: whether the answer may be used, which it may not if the other run goes on. */
    readonly mayAnswer: () => Promise<boolean>;
};

/** One run of a request at a decode engine. */
export class EngineRun {
    private writingSince: number | undefined;
    private hadBegun = false;
    /** When something last came from the engine, or was first expected: by the host's clock, and by that of this process. */
    private heardAt = { host: 0, active: 0 };
    private isAbandoned = false;
    private limit: TimeLimit | undefined;
    private end: Promise<RunEnd> | undefined;
    private readonly meter = WritingMeter.create();

    private constructor(
        private readonly options: EngineRunOptions,
        private readonly engine: ServerAnnouncement,
        private readonly round: RunRound,
    ) {}

    static create(options: EngineRunOptions, engine: ServerAnnouncement, round: RunRound): EngineRun {
        return new EngineRun(options, engine, round);
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
    execute(prompt: PrefilledPrompt | undefined): Promise<RunEnd> {
        this.end = this.run(prompt);
        return this.end;
    }

    /** Ends the run, since another one continues it; resolves once nothing of it is forwarded any more, to how it ended. */
    async abandon(): Promise<RunEnd | undefined> {
        this.isAbandoned = true;
        this.limit?.expire();
        return this.end;
    }

    private async run(prompt: PrefilledPrompt | undefined): Promise<RunEnd> {
        const { exchange, sender, request, service, relay, binding, steps } = this.options;
        if (binding.bindTo(this.engine)) {
            steps.push(`bound ${binding.version}`);
        }
        const limit = TimeLimit.create(exchange.clock, request.remainingTime(), this.round.signal);
        this.limit = limit;
        const silence = this.watch("head", headLimitMilliseconds);
        try {
            const sent = await sender.send(
                request,
                this.engine,
                service,
                {
                    ...prompt === undefined
                        ? {}
                        : { source: { address: prompt.engine.address, handle: prompt.handle } },
                    ...relay.lastEvent() === undefined ? {} : { resumeAfter: String(relay.lastEvent()) },
                },
                limit.signal,
                this.round.onFirstByte,
            );
            if (sent.kind === "notRun") {
                const { cause, unreachable, lostOnPath } = sent;
                return { kind: "turnedAway", cause, unreachable, lostOnPath };
            }
            if (sent.kind === "unknown") {
                return this.lost(sent.cause);
            }
            silence?.heard();
            silence?.close();
            return await this.forward(sent, limit.signal);
        }
        finally {
            silence?.close();
            limit.clear();
        }
    }

    private forward({ answer, metadata, via }: AnsweredSend, signal: AbortSignal): Promise<RunEnd> {
        if (answer.status >= minFailureStatus) {
            return this.forwardFailure(answer);
        }
        if (!metadata.sealed) {
            discard(answer);
            return Promise.resolve({ kind: "lost", cause: "the answer has no seal" });
        }
        return this.stream(answer, via, signal);
    }

    /** Forwards the engine's error, unless the answer has begun or the status would guarantee that the request didn't run. */
    private async forwardFailure(answer: BackendAnswer): Promise<RunEnd> {
        const { request, exchange: { answers } } = this.options;
        const body = await readWholeBody(answer, { server: this.engine, limits: answers, bound: "shortBodyBytes" });
        const { status } = answer;
        if (body === undefined || guaranteesNotRun(status) || request.hasAnswerBegun() || !this.round.mayFail()) {
            return { kind: "lost", cause: `the engine answered ${status}` };
        }
        request.sendAnswer(answer, body, answers.held);
        return { kind: "failureGiven" };
    }

    private async stream(answer: BackendAnswer, via: string | undefined, signal: AbortSignal): Promise<RunEnd> {
        const { exchange: { links, clock, crashes, ends, answers, loop }, request, relay, binding, steps } =
            this.options;
        if (!await binding.awaitReport()) {
            discard(answer);
            return { kind: "lost", cause: "directories may take the stream for one of another version" };
        }
        if (!await this.round.mayAnswer()) {
            discard(answer);
            return { kind: "lost", cause: "the run that it was to continue goes on" };
        }
        const pauses = RunPauses.create(clock, loop.activeClock);
        const onBytes = (events: number): void => {
            this.recordHeard();
            links.countEvent(this.engine, pauses.recordEvents(), clock.monotonic());
            this.recordWriting(clock.monotonic());
            this.meter.recordEvents(events, clock.monotonic());
        };
        const silence = this.watch("events", idleLimitMilliseconds);
        const end = await relay.forward(answer, silence, signal, onBytes).finally(() => silence?.close());
        if (pauses.longest() > (request.route.gap ?? Number.POSITIVE_INFINITY)) {
            steps.push(`pause ${Math.round(pauses.longest())}`);
        }
        if (end.kind === "broken") {
            if (end.exceeded !== undefined) {
                answers.exceeded(this.engine, end.exceeded.bound, end.exceeded.bytes);
            }
            return this.lost(end.cause);
        }
        const ended = { server: this.engine, service: this.options.service, via };
        if (!answer.framed && await ends.mayBeCut(ended)) {
            return { kind: "lost", cause: "the engine ended" };
        }
        request.finishStream();
        this.reportBegun();
        crashes.reportAnswered(request);
        return { kind: "done" };
    }

    private lost(cause: string): RunEnd {
        return { kind: "lost", cause: this.isAbandoned ? silentCause : cause };
    }

    /** Watches for silence of the engine, if anybody hears of it. */
    private watch(awaited: "head" | "events", milliseconds: number): SilenceWatch | undefined {
        const { listener } = this.round;
        this.recordHeard();
        if (listener === undefined) {
            return undefined;
        }
        return SilenceWatch.create(this.options.exchange.loop.activeClock, milliseconds, {
            onSilent: () => {
                this.logSilence(awaited);
                listener.onSilent();
            },
            onHeard: () => listener.onHeard(),
        });
    }

    private recordHeard(): void {
        const { clock, loop } = this.options.exchange;
        this.heardAt = { host: clock.monotonic(), active: loop.activeClock.monotonic() };
    }

    /** Logs that the engine is silent, and for how much of that this process could have heard it. */
    private logSilence(awaited: "head" | "events"): void {
        const { exchange: { clock, loop, logger, metrics }, request, relay, steps } = this.options;
        const silence = Math.round(clock.monotonic() - this.heardAt.host);
        steps.push(`silent ${this.engine.id} ${silence}`);
        metrics.count("basilpaddle_silences_of_runs_total", { awaited });
        logger.warn("a run is silent", {
            request: request.attempt,
            engine: this.engine.id,
            awaited,
            silence,
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
