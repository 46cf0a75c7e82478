import {
    type PlacementOutcome,
    type ServerAnnouncement,
    type ServiceRule,
    softwareVersionOf,
} from "../../protocol/index.js";
import { admitEngines } from "./admitEngines.js";
import { awaitEngines } from "./awaitEngines.js";
import { BackendSender, type ExchangeOptions, viaRelay } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import { EngineRun, type EngineRunOptions } from "./engineRun.js";
import type { PlacementClient, PlacementGrant } from "./placementClient.js";
import { placementRequest } from "./placementRequest.js";
import { freePromptCache, type PrefilledPrompt, requestPrefill } from "./prefilledPrompt.js";
import { refuseQuarantined } from "./refuseQuarantined.js";
import { refuseWithoutPath } from "./refuseWithoutPath.js";
import { noRetryLeft } from "./retryAllowance.js";
import { type ReportSendOutcome, RetryCharges } from "./retryCharges.js";
import type { RunEnd } from "./runEnd.js";
import { type EngineObjection, retryAfterUnknown, StreamBinding } from "./streamBinding.js";
import { StreamRelay } from "./streamRelay.js";
import type { StreamVersions } from "./streamVersions.js";

/** Limit of rounds per request; a round is a placement, a prefill and a run. */
const maxRounds = 4;
/** Fraction of a KV cache's lifetime within which it is offered to an engine; later it may expire before it is fetched. */
const handleLifeFraction = 0.7;
/** Retry-After for a request that every engine rejected. */
const rejectedRetryAfterMilliseconds = 300;
const minAnswerMilliseconds = 5;
/** Number of engines that a prompt's KV cache is offered to before it is assumed to have expired. */
const maxCacheOffers = 2;
/** Number of failed connections to engines that aren't counted as rounds. */
const maxUncountedConnectionFailures = 6;

/** Processes one request on the engines of a pool: requests a placement, runs the prefill, then the run. */
export class StreamExchange {
    private readonly sender: BackendSender;
    private readonly steps: string[] = [];
    private readonly avoid: string[] = [];
    private runCount = 0;
    private roundCount = 0;
    /** Number of engines that the current KV cache was offered to. */
    private cacheOffers = 0;
    private connectionFailures = 0;
    private prefillsAtDecode = false;
    private readonly relay: StreamRelay;
    private readonly retryCharges: RetryCharges;
    private prompt: PrefilledPrompt | undefined;
    private readonly binding: StreamBinding;
    private readonly runOptions: EngineRunOptions;

    private constructor(
        private readonly options: ExchangeOptions,
        private readonly placementClient: PlacementClient,
        private readonly gateway: { readonly name: string; readonly failureDomain: string; },
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
        versions: StreamVersions,
    ) {
        this.binding = StreamBinding.create(versions, request, service.name);
        this.sender = BackendSender.create(options);
        this.retryCharges = RetryCharges.create(options.retryAllowance, service.name);
        this.relay = StreamRelay.create(request, options.answers, () => {
            placementClient.prefillCompleted(request.attempt);
            this.steps.push(`first ${Math.round(request.age())}`);
        });
        const { sender, relay, binding, steps } = this;
        this.runOptions = { exchange: options, sender, request, service, relay, binding, steps };
    }

    static create(
        options: ExchangeOptions,
        placementClient: PlacementClient,
        gateway: { readonly name: string; readonly failureDomain: string; },
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
                await this.runRound();
            }
        }
        finally {
            this.freePrompt();
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
        const startedAt = this.now();
        const origin = await this.binding.resolve();
        if (origin.kind === "known") {
            this.steps.push(`resumes ${origin.version} ${origin.source} ${this.since(startedAt)}`);
            return;
        }
        this.steps.push(`resumes unknown ${this.since(startedAt)}`);
        this.refuse(retryAfterUnknown(origin), origin.cause);
    }

    private async runRound(): Promise<void> {
        const { request, placementClient } = this;
        if (this.refuseIfQuarantined() || refuseWithoutPath(this.options.paths, request, this.runCount > 0)) {
            return;
        }
        this.roundCount += 1;
        const askedAt = this.now();
        const grantOrRefusal = await placementClient.requestPlacement(
            placementRequest(
                request,
                this.service.name,
                this.gateway,
                [...this.avoid, ...this.binding.enginesToAvoid()],
                this.options.links.stalls(askedAt),
                { resumed: this.binding.resumesStream, version: this.binding.version },
                this.options.hasSeveralPriorities?.(this.service.name),
            ),
            request.disconnected.signal,
        );
        if (grantOrRefusal === undefined) {
            return;
        }
        if (grantOrRefusal.kind === "refused") {
            this.steps.push(`refused ${Math.round(this.now() - askedAt)}`);
            if (grantOrRefusal.versionGone === true && this.mayChangeVersion()) {
                this.binding.unbind();
                return;
            }
            this.refuse(grantOrRefusal.comeBackIn, grantOrRefusal.reason);
            return;
        }
        this.steps.push(`placed ${grantOrRefusal.by} ${Math.round(this.now() - askedAt)}`);
        let outcome: PlacementOutcome = {};
        try {
            outcome = await this.useGrant(grantOrRefusal);
        }
        finally {
            placementClient.release(grantOrRefusal.attempt, outcome);
        }
    }

    /** Uses a placement for the prefill and the run; returns what to report on its release. */
    private async useGrant(grant: PlacementGrant): Promise<PlacementOutcome> {
        const { instances } = this.options;
        await awaitEngines(this.options, grant, () => this.request.isDisconnected());
        const decode = instances.get(grant.decode);
        const prefill = grant.prefill === undefined ? undefined : instances.get(grant.prefill);
        const lost = [grant.decode, grant.prefill].find(id => id !== undefined && !instances.acceptsWork(id));
        if (lost !== undefined || decode === undefined) {
            this.retryElsewhere(lost, "a placed engine leaves, has ended or is unknown");
            return { failed: lost };
        }
        const objection = await this.binding.objectionTo(decode);
        if (objection !== undefined) {
            this.decline(decode, objection);
            return {};
        }
        if (this.refuseIfQuarantined()) {
            return {};
        }
        const version = softwareVersionOf(decode);
        // A decode engine that got the KV cache of another version would write on from what it can't read.
        const fittingPrefill = prefill !== undefined && softwareVersionOf(prefill) === version ? prefill : undefined;
        const prefillEngine = this.hasUsablePrompt(version) || this.prefillsAtDecode ? undefined : fittingPrefill;
        const limitedEngine = await admitEngines(this.options.admission, prefillEngine, decode);
        if (limitedEngine !== undefined) {
            this.steps.push(`${limitedEngine} limited`);
            this.retryElsewhere(limitedEngine, "an engine has reached the limit that it names");
            return {};
        }
        const reports = await this.retryCharges.reserve(prefillEngine !== undefined);
        if (reports === undefined) {
            this.refuse(rejectedRetryAfterMilliseconds, noRetryLeft);
            return {};
        }
        if (!this.hasUsablePrompt(version)) {
            this.freePrompt();
        }
        const prefillFailure = prefillEngine === undefined
            ? undefined
            : await this.prefillAt(prefillEngine, grant.readingWithin, reports.reportPrefill);
        if (prefillFailure !== undefined || this.request.isDisconnected() || this.refuseIfQuarantined()) {
            reports.reportRun("unreached");
            return prefillFailure ?? {};
        }
        return this.runAt(decode, reports.reportRun);
    }

    /**
     * Runs the prefill; on failure, returns what to report on the placement's release. The engine counts as failed unless the
     * caller disconnected. A failed engine gets no work for a while, and many callers disconnect during a burst.
     */
    private async prefillAt(
        prefill: ServerAnnouncement,
        forecast: number | undefined,
        reportPrefill: ReportSendOutcome,
    ): Promise<PlacementOutcome | undefined> {
        const { request, options, placementClient } = this;
        const startedAt = this.now();
        const { sent, handle } = await requestPrefill(options, this.sender, request, this.service, prefill, forecast);
        const outcome = handle === undefined ? "failed" : "done";
        this.steps.push(`read ${prefill.id} ${outcome} ${this.since(startedAt)}${viaRelay(sent)}`);
        const unreached = sent.kind === "notRun" && sent.unreachable;
        reportPrefill(unreached ? "unreached" : handle === undefined ? "counted" : "read");
        if (handle !== undefined) {
            this.prompt = { engine: prefill, handle, prefilledAt: this.now() };
            this.cacheOffers = 0;
            placementClient.prefillCompleted(request.attempt);
            return undefined;
        }
        const lostOnPath = sent.kind !== "answer" && sent.lostOnPath;
        if (sent.kind === "unknown" && !lostOnPath && !request.isDisconnected()) {
            void options.crashes.reportLostRun(request, prefill, "early");
        }
        this.discountFailedConnection(unreached);
        if (request.isDisconnected()) {
            return {};
        }
        const cause = sent.kind === "answer" ? `status ${sent.answer.status}` : sent.cause;
        this.retryElsewhere(lostOnPath ? undefined : prefill.id, `the prefill failed: ${cause}`);
        return lostOnPath ? {} : { failed: prefill.id };
    }

    private async runAt(decode: ServerAnnouncement, reportRun: ReportSendOutcome): Promise<PlacementOutcome> {
        const startedAt = this.now();
        const eventsBefore = this.relay.events();
        const run = EngineRun.create(this.runOptions, decode, this.canResume());
        this.placementClient.observeWriting(this.request.attempt, () => run.takeReport());
        const end = await run.execute(this.prompt);
        if (end.kind !== "turnedAway") {
            this.prompt = undefined;
        }
        const unreached = end.kind === "turnedAway" && end.unreachable;
        reportRun(unreached ? "unreached" : "counted");
        this.discountFailedConnection(unreached);
        const cause = "cause" in end ? ` (${end.cause})` : "";
        this.steps.push(`run ${decode.id} ${end.kind} ${this.since(startedAt)}${cause}`);
        if (this.request.isDisconnected()) {
            return {};
        }
        switch (end.kind) {
            case "done":
                return eventsBefore === 0 && !this.binding.resumesStream ? { answerEvents: this.relay.events() } : {};
            case "failureGiven":
                return {};
            case "turnedAway":
                return this.afterRejection(decode, end);
            case "lost":
                if (!await this.options.paths.isLostOnPath(decode.id)) {
                    const phase = this.relay.events() === eventsBefore ? "early" : "late";
                    void this.options.crashes.reportLostRun(this.request, decode, phase, run.hasBegun());
                }
                this.runCount += 1;
                this.resumeElsewhere(decode.id, end.cause);
                // One broken stream is little evidence against its engine; if it has ended, the next connection will fail.
                return {};
        }
    }

    /**
     * Continues after an engine rejected the run. The prompt's KV cache is offered to one more engine. If that rejects it
     * too, the next decode engine runs the prefill itself: a separate prefill would waste as much again if caches expire.
     */
    private afterRejection(
        decode: ServerAnnouncement,
        end: Extract<RunEnd, { kind: "turnedAway"; }>,
    ): PlacementOutcome {
        const { prompt } = this;
        this.retryElsewhere(end.lostOnPath ? undefined : decode.id, end.cause);
        if (end.unreachable) {
            return end.lostOnPath ? {} : { failed: decode.id };
        }
        if (prompt === undefined) {
            return { turnedAwayBy: decode.id };
        }
        this.cacheOffers += 1;
        if (this.cacheOffers >= maxCacheOffers) {
            this.freePrompt();
            this.prefillsAtDecode = true;
        }
        return { turnedAwayBy: decode.id, readBy: prompt.engine.id };
    }

    /** Excludes an engine that the stream may not run at, and refuses the request if that holds for all engines. */
    private decline(engine: ServerAnnouncement, { cause, retryAfter }: EngineObjection): void {
        this.steps.push(`declined ${engine.id}`);
        if (retryAfter !== undefined) {
            this.refuse(retryAfter, cause);
        }
        else {
            this.retryElsewhere(engine.id, cause);
        }
    }

    /** Whether the stream may still begin at another version: its caller has received nothing of it. */
    private mayChangeVersion(): boolean {
        return !this.binding.resumesStream && this.relay.events() === 0 && this.roundCount < maxRounds;
    }

    /** Whether the run may be resumed on another engine if this one is lost. */
    private canResume(): boolean {
        const { route } = this.request;
        return route.resumable && this.runCount + 1 < route.attempts;
    }

    /** Excludes an engine that has run nothing, if it is to blame, and refuses the request if no further round is possible. */
    private retryElsewhere(engine: string | undefined, cause: string): void {
        const { request } = this;
        if (engine !== undefined) {
            this.avoid.push(engine);
        }
        if (this.roundCount >= maxRounds || request.remainingTime() < minAnswerMilliseconds) {
            this.refuse(rejectedRetryAfterMilliseconds, cause);
        }
    }

    /** Excludes the engine of a lost run, and fails the request if its route or its time doesn't allow it to be resumed. */
    private resumeElsewhere(engine: string, cause: string): void {
        const { request } = this;
        const { route } = request;
        this.avoid.push(engine);
        const mayResume = route.resumable && this.runCount < route.attempts && this.roundCount < maxRounds;
        if (!mayResume || request.remainingTime() < minAnswerMilliseconds) {
            request.fail(request.remainingTime() < minAnswerMilliseconds ? 504 : 502, cause);
        }
    }

    private refuseIfQuarantined(): boolean {
        return refuseQuarantined(this.options, this.request, this.runCount > 0, this.steps);
    }

    private refuse(comeBackIn: number, cause: string): void {
        const { request } = this;
        if (this.runCount > 0 || request.hasAnswerBegun()) {
            request.fail(502, cause);
        }
        else {
            request.refuse(comeBackIn, cause);
        }
    }

    private hasUsablePrompt(version: string): boolean {
        const { prompt } = this;
        const maxAgeMilliseconds = (this.service.engine?.handleLife ?? 0) * handleLifeFraction;
        return prompt !== undefined && softwareVersionOf(prompt.engine) === version
            && this.now() - prompt.prefilledAt < maxAgeMilliseconds;
    }

    private freePrompt(): void {
        const { prompt, options } = this;
        this.prompt = undefined;
        if (prompt !== undefined) {
            freePromptCache(options, this.service, prompt);
        }
    }

    /**
     * A failed connection doesn't count as a round, since the engine has received nothing. When a quarter of the engines crash
     * at once, a request may be placed on several of them before their end is reported.
     */
    private discountFailedConnection(unreached: boolean): void {
        if (unreached) {
            this.connectionFailures += 1;
            this.roundCount -= this.connectionFailures <= maxUncountedConnectionFailures ? 1 : 0;
        }
    }

    private since(startedAt: number): number {
        return Math.round(this.now() - startedAt);
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
