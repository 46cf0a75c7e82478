import type { CallOutcome } from "../../coordination/index.js";
import type { ServerAnnouncement, ServiceRule } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";
import { type BackendAnswer, discard, type Holding, readWholeBody } from "../backends/index.js";
import { BackendSender, type ExchangeOptions, type SendResult, viaRelay } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import { HeldRetry } from "./heldRetry.js";
import { refuseQuarantined } from "./refuseQuarantined.js";
import { refuseWithoutPath } from "./refuseWithoutPath.js";
import { type AttemptPatience, ReplaceableAttempt } from "./replaceableAttempt.js";
import { noRetryLeft } from "./retryAllowance.js";
import { guaranteesNotRun } from "./statuses.js";
import { TimeLimit } from "./timeLimit.js";

/** Limit of backend servers that are tried in turn, including those that reject the request. */
const maxRounds = 4;
/** Time of one backend server as a multiple of the target, after which another one is looked for if the request may be retried. */
const serverTimeoutFactor = 1.5;
/** Fraction of its remaining time that a request waits for a first backend server, and the interval of checking for one. */
const firstServerWaitFraction = 0.5;
const firstServerPollMilliseconds = 20;
/** Retry-After if no backend server is known, or if all of them are full. */
const noServerRetryAfterMilliseconds = 400;
const fullRetryAfterMilliseconds = 120;
/** Fraction of its target that a request waits for room at a server that names a limit. */
const roomWaitFraction = 0.5;
const allLeave = "the backend servers of the service leave";
const noRoom = "the backend servers have reached the limits that they name";
/** Minimum remaining time in which an answer is possible. */
const minAnswerMilliseconds = 2;
const minServerErrorStatus = 500;

type ServerResult =
    | { readonly kind: "done"; }
    /** Another backend server may be tried; `mayHaveRun`: whether this one may have run the request. */
    | { readonly kind: "next"; readonly mayHaveRun: boolean; readonly cause: string; readonly forward?: () => void; };

/** Processes one request on the backend servers of a plain service. */
export class ServiceExchange {
    private readonly sender: BackendSender;
    private readonly triedServers = new Set<string>();
    private readonly steps: string[] = [];
    private runCount = 0;
    private readonly retry: HeldRetry;
    /** The server that replaces an attempt which was given up for it. */
    private replacement: ServerAnnouncement | undefined;
    /** Counts the failure of a server that is kept in case that no other one answers. */
    private keptFailure: Holding | undefined;
    /** Whether it arrived at a server, or may have. */
    private mayHaveArrived = false;
    /** Milliseconds until a server has room; undefined unless all have reached the limits that they name. */
    private roomIn: number | undefined;

    private constructor(
        private readonly options: ExchangeOptions,
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
    ) {
        this.sender = BackendSender.create(options);
        this.retry = HeldRetry.create(options.retryAllowance, service.name);
    }

    static create(options: ExchangeOptions, request: CallerRequest, service: ServiceRule): ServiceExchange {
        return new ServiceExchange(options, request, service);
    }

    /** Backend servers that were tried, with their results, for the log. */
    trace(): readonly string[] {
        return this.steps;
    }

    /** Processes the request until it is answered, refused or failed. */
    async run(): Promise<void> {
        try {
            await this.tryServers();
        }
        finally {
            this.keptFailure?.release();
            this.retry.release();
        }
    }

    private async tryServers(): Promise<void> {
        const { options, request, service } = this;
        options.retryAllowance.recordRequest(service.name);
        let lastResult: Extract<ServerResult, { kind: "next"; }> | undefined;
        for (let round = 0; round < maxRounds; round++) {
            if (request.isDisconnected() || refuseQuarantined(options, request, this.runCount > 0, this.steps)) {
                return;
            }
            if (lastResult?.forward === undefined && refuseWithoutPath(options.paths, request, this.runCount > 0)) {
                return;
            }
            // A server's answer is forwarded where no other server can be tried.
            if (request.remainingTime() < minAnswerMilliseconds || options.paths.hasNoPath()) {
                break;
            }
            const server = this.takeReplacement() ?? await this.nextServer()
                ?? (round === 0 ? await this.waitForServer() : undefined);
            if (server === undefined || request.isDisconnected()) {
                break;
            }
            // What arrived nowhere costs no retry: the callers of a gateway with failing links would use up those of all others.
            if (lastResult !== undefined && this.mayHaveArrived && !await this.retry.spend()) {
                lastResult = { ...lastResult, cause: `${lastResult.cause}; ${noRetryLeft}` };
                break;
            }
            this.retry.release();
            const result = await this.sendTo(server, round + 1 < maxRounds);
            if (result.kind === "done") {
                return;
            }
            lastResult = result;
            const { route } = request;
            if (result.mayHaveRun && (route.kind !== "safe" || this.runCount >= route.attempts)) {
                break;
            }
        }
        this.endUnanswered(lastResult);
    }

    private takeReplacement(): ServerAnnouncement | undefined {
        const { replacement } = this;
        this.replacement = undefined;
        return replacement;
    }

    /** The best server that takes the request now, or soon has room; undefined if there is none. */
    private async nextServer(): Promise<ServerAnnouncement | undefined> {
        return await this.serverWithRoom(this.triedServers) ?? this.nextServerWithRoom();
    }

    /** The best server that takes the request now; undefined if none does. */
    private async serverWithRoom(avoided: ReadonlySet<string>): Promise<ServerAnnouncement | undefined> {
        const { instances, choice, admission, clock } = this.options;
        const usable = instances.usable(this.service.name);
        const excluded = new Set(avoided);
        for (;;) {
            const candidates = usable.filter(({ id }) => admission.timeUntilRoom(id) === 0);
            const server = candidates.find(({ id }) => admission.isOverdue(id) && !excluded.has(id))
                ?? choice.choose(candidates, excluded, clock.monotonic());
            if (server === undefined || await admission.admit(server.id, 0)) {
                return server;
            }
            this.steps.push(`${server.id} limited`);
            excluded.add(server.id);
        }
    }

    /** The server that is the first to have room again, after a wait that leaves time to answer by the target. */
    private async nextServerWithRoom(): Promise<ServerAnnouncement | undefined> {
        const { admission, instances } = this.options;
        const usable = instances.usable(this.service.name);
        const limited = usable.filter(({ id }) => !this.triedServers.has(id) && admission.limitOf(id) !== undefined);
        const timeUntilRoom = ({ id }: ServerAnnouncement): number => admission.timeUntilRoom(id);
        const first = limited.sort((one, other) => timeUntilRoom(one) - timeUntilRoom(other))[0];
        if (first === undefined) {
            return undefined;
        }
        const within = Math.min(this.request.remainingTime(), this.request.route.target * roomWaitFraction);
        if (await admission.admit(first.id, within)) {
            return first;
        }
        this.roomIn = Math.min(...limited.map(timeUntilRoom));
        return undefined;
    }

    /**
     * Waits until a first backend server is known: after a restart of every directory, the servers' heartbeats arrive again
     * within about a second. A caller that was refused at once would spend its only retry before that.
     */
    private async waitForServer(): Promise<ServerAnnouncement | undefined> {
        const { clock, instances } = this.options;
        if (instances.usable(this.service.name).length > 0 || instances.isAbandoned(this.service.name)) {
            // Servers are known, but none of them takes the request; or those that were known leave.
            return undefined;
        }
        const deadline = clock.monotonic() + this.request.remainingTime() * firstServerWaitFraction;
        while (clock.monotonic() < deadline && !this.request.isDisconnected()) {
            await new Promise<void>(resolve => clock.after(firstServerPollMilliseconds, resolve));
            const server = await this.nextServer();
            if (server !== undefined) {
                return server;
            }
        }
        return undefined;
    }

    private endUnanswered(lastResult: Extract<ServerResult, { kind: "next"; }> | undefined): void {
        const { request } = this;
        if (request.isDisconnected()) {
            return;
        }
        if (lastResult?.forward !== undefined) {
            lastResult.forward();
        }
        else if (this.runCount > 0) {
            request.fail(request.remainingTime() < minAnswerMilliseconds ? 504 : 502, lastResult?.cause ?? "no answer");
        }
        else if (this.roomIn !== undefined) {
            request.refuse(this.roomIn * (1 + hashToFraction(request.attempt)), noRoom);
        }
        else if (lastResult === undefined) {
            const isAbandoned = this.options.instances.isAbandoned(this.service.name);
            request.refuse(noServerRetryAfterMilliseconds, isAbandoned ? allLeave : "no backend server is known");
        }
        else {
            request.refuse(fullRetryAfterMilliseconds, lastResult.cause);
        }
    }

    private async sendTo(server: ServerAnnouncement, mayContinue: boolean): Promise<ServerResult> {
        const { request, options } = this;
        const { clock, choice, tally } = options;
        const startedAt = clock.monotonic();
        choice.recordStart(server.id);
        const call = tally.recordStart(server, startedAt);
        const limit = TimeLimit.create(clock, request.remainingTime(), request.disconnected.signal);
        const attempt = ReplaceableAttempt.create(limit, mayContinue ? this.patience(server) : undefined);
        try {
            const sent = await this.sender.send(request, server, this.service, {}, attempt.signal);
            const [result, outcome] = await this.classify(server, sent);
            const milliseconds = clock.monotonic() - startedAt;
            choice.recordOutcome(
                server,
                request.isDisconnected() ? "answered" : outcome,
                milliseconds,
                clock.monotonic(),
            );
            if (!request.isDisconnected()) {
                tally.recordOutcome(call, outcome, clock.monotonic());
            }
            this.steps.push(`${server.id} ${outcome} ${Math.round(milliseconds)}${viaRelay(sent)}`);
            return result;
        }
        finally {
            tally.discardCall(call);
            await attempt.end();
        }
    }

    /**
     * When a backend server is given up for another one. Without it a hanging server would block a request that another one could still
     * answer in time. Undefined for a request that may not run once more: it gets all of its remaining time.
     */
    private patience(server: ServerAnnouncement): AttemptPatience | undefined {
        const { request: { route }, options } = this;
        if (route.kind !== "safe" || this.runCount + 1 >= route.attempts) {
            return undefined;
        }
        return {
            activeClock: options.loop.activeClock,
            milliseconds: serverTimeoutFactor * route.target,
            secureReplacement: () => this.secureReplacement(server),
        };
    }

    /** Secures a server and a retry that replace an attempt; returns false, and holds neither, if the request can't be sent on now. */
    private async secureReplacement({ id }: ServerAnnouncement): Promise<boolean> {
        const { instances, choice, clock } = this.options;
        const avoided = new Set([...this.triedServers, id]);
        const isKnown = choice.choose(instances.usable(this.service.name), avoided, clock.monotonic()) !== undefined;
        if (!isKnown || !this.mayBeSentOn() || !await this.retry.take()) {
            return false;
        }
        this.replacement = await this.serverWithRoom(avoided);
        if (this.replacement !== undefined && this.mayBeSentOn()) {
            return true;
        }
        this.replacement = undefined;
        this.retry.release();
        return false;
    }

    private mayBeSentOn(): boolean {
        const { options: { paths, crashes }, request } = this;
        return request.remainingTime() >= minAnswerMilliseconds && !paths.hasNoPath()
            && crashes.quarantineStatus(request) === undefined;
    }

    private async classify(
        server: ServerAnnouncement,
        sent: SendResult,
    ): Promise<[ServerResult, CallOutcome]> {
        this.mayHaveArrived ||= sent.kind !== "notRun" || !sent.unreachable;
        if (sent.kind === "notRun") {
            this.triedServers.add(server.id);
            return [
                { kind: "next", mayHaveRun: false, cause: sent.cause },
                sent.lostOnPath ? "lostOnPath" : sent.unreachable ? "unreachable" : "rejected",
            ];
        }
        this.runCount += 1;
        this.triedServers.add(server.id);
        if (sent.kind === "unknown") {
            this.reportPossibleCrash(server, sent.lostOnPath);
            return [
                { kind: "next", mayHaveRun: true, cause: sent.cause },
                sent.lostOnPath ? "lostOnPath" : "failed",
            ];
        }
        const { answer, metadata } = sent;
        const { status } = answer;
        if (status < 400 && !metadata.sealed) {
            discard(answer);
            return [{ kind: "next", mayHaveRun: true, cause: "the answer has no seal" }, "failed"];
        }
        const body = await readWholeBody(answer, { server, limits: this.options.answers, bound: "bodyBytes" });
        const ended = { server, service: this.service, via: sent.via };
        if (body === undefined || !answer.framed && await this.options.ends.mayBeCut(ended)) {
            const lostOnPath = await this.options.paths.isLostOnPath(server.id);
            this.reportPossibleCrash(server, lostOnPath);
            return [
                { kind: "next", mayHaveRun: true, cause: "the answer was cut off" },
                lostOnPath ? "lostOnPath" : "failed",
            ];
        }
        const forward = (): void => this.forwardAnswer(answer, body);
        if (status >= minServerErrorStatus) {
            this.keptFailure?.release();
            this.keptFailure = this.options.answers.held.take({ request: this.request.attempt }, body.length);
            return [{ kind: "next", mayHaveRun: true, cause: `status ${status}`, forward }, "failed"];
        }
        forward();
        this.options.crashes.reportAnswered(this.request);
        return [{ kind: "done" }, "answered"];
    }

    /** Reports that the server may have crashed while running the request. */
    private reportPossibleCrash(server: ServerAnnouncement, lostOnPath: boolean): void {
        if (!lostOnPath && !this.request.isDisconnected()) {
            void this.options.crashes.reportLostRun(this.request, server, "whole");
        }
    }

    /**
     * Forwards an answer. 429 and 503 guarantee to a caller that its request has not run; forwarded from a backend server
     * that may have run it, they would make the caller send it again.
     */
    private forwardAnswer(answer: BackendAnswer, body: Buffer): void {
        const { status } = answer;
        if (guaranteesNotRun(status)) {
            this.request.fail(502, `a backend server that may have run it answered ${status}`);
        }
        else {
            this.request.sendAnswer(answer, body, this.options.answers.held);
        }
    }
}
