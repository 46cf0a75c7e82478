import {
    type PlacementRequest,
    type ServerAnnouncement,
    type ServiceRule,
    softwareVersionOf,
} from "../../protocol/index.js";
import { admitEngines } from "./admitEngines.js";
import { awaitEngines } from "./awaitEngines.js";
import { BackendSender, type ExchangeOptions, viaRelay } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import { EngineRun, type EngineRunOptions } from "./engineRun.js";
import { HeldPrompt } from "./heldPrompt.js";
import type { PlacementClient, PlacementGrant } from "./placementClient.js";
import { placementRequest } from "./placementRequest.js";
import { requestPrefill } from "./prefilledPrompt.js";
import type { Refusal } from "./refusal.js";
import { quarantineRefusal } from "./refuseQuarantined.js";
import { pathRefusal } from "./refuseWithoutPath.js";
import { noRetryLeft } from "./retryAllowance.js";
import { type ReportSendOutcome, RetryCharges } from "./retryCharges.js";
import type { Round, RoundEnd, RoundResult, SuccessorRound } from "./round.js";
import { RoundLimits } from "./roundLimits.js";
import type { RunEnd } from "./runEnd.js";
import type { StreamBinding } from "./streamBinding.js";
import { StreamRelay } from "./streamRelay.js";
import { Takeover } from "./takeover.js";

/** Limit of rounds beside one silence of a run. */
const maxSearchRounds = 4;
/** Retry-After for a request that every engine rejected. */
const rejectedRetryAfterMilliseconds = 300;
/** Leaves room for a number in the identifier of a further placement. */
const maxAttemptLength = 190;

const again = { kind: "again" } as const;
const over = { kind: "over" } as const;

/** The gateway that serves the request. */
export type RoundGateway = { readonly name: string; readonly failureDomain: string; };

/** What the rounds of one request need. */
export type StreamRoundsOptions = {
    readonly exchange: ExchangeOptions;
    readonly placementClient: PlacementClient;
    readonly gateway: RoundGateway;
    readonly request: CallerRequest;
    readonly service: ServiceRule;
    readonly binding: StreamBinding;
    /** Takes the engines that were used, with their results, for the log. */
    readonly steps: string[];
};

/** The rounds of one request; a later one knows what the earlier ones have learnt. */
export class StreamRounds {
    private readonly sender: BackendSender;
    private readonly limits: RoundLimits;
    private searchCount = 0;
    /** The placement whose run forwards its events. */
    private currentPlacement: string;
    private readonly relay: StreamRelay;
    private readonly retryCharges: RetryCharges;
    private readonly prompt: HeldPrompt;
    private readonly runOptions: EngineRunOptions;

    private constructor(private readonly options: StreamRoundsOptions) {
        const { exchange, placementClient, request, service, binding, steps } = options;
        this.sender = BackendSender.create(exchange);
        this.limits = RoundLimits.create(request);
        this.retryCharges = RetryCharges.create(exchange.retryAllowance, service.name);
        this.prompt = HeldPrompt.create(exchange, service);
        this.currentPlacement = request.attempt;
        this.relay = StreamRelay.create(request, exchange.answers, () => {
            placementClient.prefillCompleted(this.currentPlacement);
            steps.push(`first ${Math.round(request.age())}`);
        });
        this.runOptions = { exchange, sender: this.sender, request, service, relay: this.relay, binding, steps };
    }

    static create(options: StreamRoundsOptions): StreamRounds {
        return new StreamRounds(options);
    }

    /** Whether an engine may have run the request in a round that has ended. */
    haveRun(): boolean {
        return this.limits.haveRun();
    }

    /** Frees what the rounds have left at engines. */
    close(): void {
        this.prompt.free();
    }

    /** Plays a round, and those that continue its run if it falls silent. */
    play(): Promise<RoundEnd> {
        const { attempt: placement, disconnected: { signal } } = this.options.request;
        return this.playRound({ placement, signal, successor: undefined, prompt: this.prompt });
    }

    /** Plays rounds beside a silent run, which keeps its own placement, until an engine continues it or none can. */
    private async playSuccessor(successor: SuccessorRound): Promise<RoundEnd> {
        const { request, exchange, service } = this.options;
        const { signal } = successor;
        const placement = `${request.attempt.slice(0, maxAttemptLength)}~${++this.searchCount}`;
        const prompt = HeldPrompt.create(exchange, service);
        let end: RoundEnd = again;
        for (let round = 0; round < maxSearchRounds && end.kind === "again"; round++) {
            end = await this.playRound({ placement, signal, successor, prompt });
            if (!successor.isOpen() || signal.aborted) {
                break;
            }
        }
        prompt.free();
        return end;
    }

    private async playRound(round: Round): Promise<RoundEnd> {
        const { request, placementClient, steps, exchange } = this.options;
        const refusal = this.quarantineRefusal() ?? pathRefusal(exchange.paths, request);
        if (refusal !== undefined) {
            return { kind: "refused", ...refusal };
        }
        this.limits.countRound(round.successor === undefined);
        const askedAt = this.now();
        const grantOrRefusal = await placementClient.requestPlacement(this.placementDemand(round), round.signal);
        if (grantOrRefusal === undefined) {
            return over;
        }
        if (grantOrRefusal.kind === "refused") {
            steps.push(`refused ${this.since(askedAt)}`);
            if (grantOrRefusal.versionGone === true && this.mayChangeVersion(round)) {
                this.options.binding.unbind();
                return again;
            }
            return refused(grantOrRefusal.comeBackIn, grantOrRefusal.reason);
        }
        steps.push(`placed ${grantOrRefusal.by} ${this.since(askedAt)}`);
        let result: RoundResult = { outcome: {}, end: again };
        try {
            result = await this.useGrant(round, grantOrRefusal);
        }
        finally {
            placementClient.release(round.placement, result.outcome);
        }
        return result.end;
    }

    private placementDemand({ placement }: Round): PlacementRequest {
        const { request, service, gateway, binding, exchange } = this.options;
        const demand = placementRequest(
            request,
            service.name,
            gateway,
            [...this.limits.enginesToAvoid(), ...binding.enginesToAvoid()],
            exchange.links.stalls(this.now()),
            { resumed: binding.resumesStream, version: binding.version },
            exchange.hasSeveralPriorities?.(service.name),
        );
        return { ...demand, attempt: placement };
    }

    /** Uses a placement for the prefill and the run. */
    private async useGrant(round: Round, grant: PlacementGrant): Promise<RoundResult> {
        const { exchange, binding, steps } = this.options;
        const { instances } = exchange;
        await awaitEngines(exchange, grant, () => round.signal.aborted);
        const decode = instances.get(grant.decode);
        const prefill = grant.prefill === undefined ? undefined : instances.get(grant.prefill);
        const lost = [grant.decode, grant.prefill].find(id => id !== undefined && !instances.acceptsWork(id));
        if (lost !== undefined || decode === undefined) {
            const end = this.retryElsewhere(lost, "a placed engine leaves, has ended or is unknown");
            return { outcome: { failed: lost }, end };
        }
        if (this.limits.isBusy(decode.id)) {
            const cause = "only an engine that runs it already has room";
            return { outcome: {}, end: refused(rejectedRetryAfterMilliseconds, cause) };
        }
        const objection = await binding.objectionTo(decode);
        if (objection !== undefined) {
            const { cause, retryAfter } = objection;
            steps.push(`declined ${decode.id}`);
            const end = retryAfter === undefined ? this.retryElsewhere(decode.id, cause) : refused(retryAfter, cause);
            return { outcome: {}, end };
        }
        const refusal = this.quarantineRefusal();
        if (refusal !== undefined) {
            return { outcome: {}, end: { kind: "refused", ...refusal } };
        }
        const version = softwareVersionOf(decode);
        // A decode engine that got the KV cache of another version would write on from what it can't read.
        const fittingPrefill = prefill !== undefined && softwareVersionOf(prefill) === version ? prefill : undefined;
        const prefillEngine = round.prompt.prefillEngine(version, fittingPrefill);
        const limitedEngine = await admitEngines(exchange.admission, prefillEngine, decode);
        if (limitedEngine !== undefined) {
            steps.push(`${limitedEngine} limited`);
            const end = this.retryElsewhere(limitedEngine, "an engine has reached the limit that it names");
            return { outcome: {}, end };
        }
        return this.sendTo(round, grant, prefillEngine, decode);
    }

    private async sendTo(
        round: Round,
        grant: PlacementGrant,
        prefillEngine: ServerAnnouncement | undefined,
        decode: ServerAnnouncement,
    ): Promise<RoundResult> {
        if (!this.limits.mayRun()) {
            return { outcome: {}, end: refused(rejectedRetryAfterMilliseconds, "the route allows no further engine") };
        }
        const reports = await this.retryCharges.reserve(prefillEngine !== undefined);
        if (reports === undefined) {
            return { outcome: {}, end: refused(rejectedRetryAfterMilliseconds, noRetryLeft) };
        }
        // One that looks in vain for an engine beside a run that goes on doesn't count.
        this.limits.countRound(round.successor !== undefined);
        round.prompt.freeUnlessUsable(softwareVersionOf(decode));
        const failure = prefillEngine === undefined
            ? undefined
            : await this.prefillAt(round, prefillEngine, grant.readingWithin, reports.reportPrefill);
        const refusal = failure === undefined ? this.quarantineRefusal() : undefined;
        if (failure !== undefined || round.signal.aborted || refusal !== undefined) {
            reports.reportRun("unreached");
            return failure ?? { outcome: {}, end: refusal === undefined ? over : { kind: "refused", ...refusal } };
        }
        return this.runAt(round, decode, reports.reportRun);
    }

    /**
     * Runs the prefill; on failure, returns the end of the round. The engine counts as failed unless the caller disconnected. A failed engine
     * gets no work for a while, and many callers disconnect during a burst.
     */
    private async prefillAt(
        round: Round,
        prefill: ServerAnnouncement,
        forecast: number | undefined,
        reportPrefill: ReportSendOutcome,
    ): Promise<RoundResult | undefined> {
        const { request, exchange, placementClient, service, steps } = this.options;
        const startedAt = this.now();
        const prefillRequest = { request, service, engine: prefill, forecast, signal: round.signal };
        const { sent, handle } = await requestPrefill(exchange, this.sender, prefillRequest);
        const outcome = handle === undefined ? "failed" : "done";
        steps.push(`read ${prefill.id} ${outcome} ${this.since(startedAt)}${viaRelay(sent)}`);
        const unreached = sent.kind === "notRun" && sent.unreachable;
        reportPrefill(unreached ? "unreached" : handle === undefined ? "counted" : "read");
        if (handle !== undefined) {
            round.prompt.hold(prefill, handle);
            placementClient.prefillCompleted(round.placement);
            return undefined;
        }
        const lostOnPath = sent.kind !== "answer" && sent.lostOnPath;
        if (sent.kind === "unknown" && !lostOnPath && !round.signal.aborted) {
            void exchange.crashes.reportLostRun(request, prefill, "early");
        }
        this.limits.discountConnection(unreached);
        if (round.signal.aborted) {
            return { outcome: {}, end: over };
        }
        const cause = sent.kind === "answer" ? `status ${sent.answer.status}` : sent.cause;
        const end = this.retryElsewhere(lostOnPath ? undefined : prefill.id, `the prefill failed: ${cause}`);
        return { outcome: lostOnPath ? {} : { failed: prefill.id }, end };
    }

    private async runAt(round: Round, decode: ServerAnnouncement, reportRun: ReportSendOutcome): Promise<RoundResult> {
        const { request, placementClient, binding, steps, exchange } = this.options;
        const startedAt = this.now();
        const eventsBefore = this.relay.events();
        let hasBegun = false;
        const takeover = this.takeoverOf(round, decode);
        const run = EngineRun.create(this.runOptions, decode, {
            signal: round.signal,
            listener: request.route.resumable ? takeover : undefined,
            onFirstByte: () => {
                hasBegun = true;
                round.successor?.hasBegun();
            },
            mayFail: () => round.successor?.isOpen() !== true,
            mayAnswer: async () => {
                round.prompt.recordFetched();
                const mayAnswer = await round.successor?.takeOver() ?? true;
                this.currentPlacement = mayAnswer ? round.placement : this.currentPlacement;
                return mayAnswer;
            },
        });
        takeover.observe(run);
        placementClient.observeWriting(round.placement, () => run.takeReport());
        const recordEnd = this.limits.startRun(decode.id);
        const end = await run.execute(round.prompt.get());
        recordEnd(end.kind === "turnedAway");
        const phase = this.relay.events() === eventsBefore ? "early" : "late";
        const successor = takeover.end(end);
        if (end.kind !== "turnedAway" && (hasBegun || !round.signal.aborted)) {
            round.prompt.recordFetched();
        }
        const unreached = end.kind === "turnedAway" && end.unreachable;
        reportRun(unreached ? "unreached" : "counted");
        this.limits.discountConnection(unreached);
        const cause = "cause" in end ? ` (${end.cause})` : "";
        steps.push(`run ${decode.id} ${end.kind} ${this.since(startedAt)}${cause}`);
        if (round.signal.aborted) {
            this.limits.exclude(decode.id);
            return { outcome: {}, end: over };
        }
        switch (end.kind) {
            case "done": {
                const wroteAll = eventsBefore === 0 && !binding.resumesStream;
                return { outcome: wroteAll ? { answerEvents: this.relay.events() } : {}, end: over };
            }
            case "failureGiven":
                return { outcome: {}, end: over };
            case "turnedAway": {
                const rejected = this.afterRejection(round, decode, end);
                return { ...rejected, end: successor.then(next => isDecided(next) ? next : rejected.end) };
            }
            case "lost":
                if (!await exchange.paths.isLostOnPath(decode.id)) {
                    void exchange.crashes.reportLostRun(request, decode, phase, run.hasBegun());
                }
                // One broken stream is little evidence against its engine; if it has ended, the next connection will fail.
                this.limits.exclude(decode.id);
                return { outcome: {}, end: successor.then(next => isDecided(next) ? next : this.resume(end.cause)) };
        }
    }

    private takeoverOf({ signal }: Round, { id, address }: ServerAnnouncement): Takeover {
        const { request, exchange: { instances, paths, clock, logger, metrics } } = this.options;
        return Takeover.create({
            request: request.attempt,
            engine: id,
            hasEnded: () => instances.hasEnded(id),
            listenStatus: () => paths.listenStatusOf(address),
            mayContinue: () => this.limits.mayRun() && this.limits.mayPlay(),
            play: successor => this.playSuccessor(successor),
            signal,
            clock,
            logger,
            metrics,
        });
    }

    /** Continues after an engine rejected the run. */
    private afterRejection(
        round: Round,
        decode: ServerAnnouncement,
        rejection: Extract<RunEnd, { kind: "turnedAway"; }>,
    ): RoundResult {
        const end = this.retryElsewhere(rejection.lostOnPath ? undefined : decode.id, rejection.cause);
        if (rejection.unreachable) {
            return { outcome: rejection.lostOnPath ? {} : { failed: decode.id }, end };
        }
        const readBy = round.prompt.recordRejected()?.id;
        return { outcome: { turnedAwayBy: decode.id, ...readBy === undefined ? {} : { readBy } }, end };
    }

    /** Whether the stream may still begin at another version: its caller has received nothing of it. */
    private mayChangeVersion({ successor }: Round): boolean {
        const hasBegun = this.options.binding.resumesStream || this.relay.events() > 0 || successor !== undefined;
        return !hasBegun && this.limits.mayPlay();
    }

    /** Excludes an engine that has run nothing, if it is to blame, and refuses the request if no further round is possible. */
    private retryElsewhere(engine: string | undefined, cause: string): RoundEnd {
        if (engine !== undefined) {
            this.limits.exclude(engine);
        }
        return this.limits.mayPlay() ? again : refused(rejectedRetryAfterMilliseconds, cause);
    }

    /** Continues after a lost run, unless the route or the time doesn't allow it to be resumed. */
    private resume(cause: string): RoundEnd {
        if (this.options.request.route.resumable && this.limits.mayRun() && this.limits.mayPlay()) {
            return again;
        }
        return { kind: "failed", status: this.limits.isTimeOver() ? 504 : 502, cause };
    }

    private quarantineRefusal(): Refusal | undefined {
        return quarantineRefusal(this.options.exchange, this.options.request, this.options.steps);
    }

    private since(startedAt: number): number {
        return Math.round(this.now() - startedAt);
    }

    private now(): number {
        return this.options.exchange.clock.monotonic();
    }
}

/** Whether rounds beside a run that was lost meanwhile leave nothing to be decided. */
function isDecided(end: RoundEnd | undefined): end is RoundEnd {
    return end?.kind === "over" || end?.kind === "failed";
}

function refused(comeBackIn: number, cause: string): RoundEnd {
    return { kind: "refused", comeBackIn, cause };
}
