import type { CallOutcome } from "../../coordination/index.js";
import type { ServerAnnouncement, ServiceRule } from "../../protocol/index.js";
import { type BackendAnswer, discard, readWholeBody } from "../backends/index.js";
import { BackendSender, type ExchangeDependencies, type SendResult } from "./backendSender.js";
import type { CallerRequest } from "./callerRequest.js";
import { refuseQuarantined } from "./refuseQuarantined.js";
import { TimeLimit } from "./timeLimit.js";

/** Largest answer that is buffered before it is forwarded. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Limit of backend servers that are tried in turn, including those that reject the request. */
const maxRounds = 4;
/** Timeout of one backend server, as a multiple of the target, if the request may be retried at another one. */
const serverTimeoutFactor = 1.5;
/** Fraction of its remaining time that a request waits for a first backend server, and the interval of checking for one. */
const firstServerWaitFraction = 0.5;
const firstServerPollMilliseconds = 20;
/** Retry-After if no backend server is known, or if all of them are full. */
const noServerRetryAfterMilliseconds = 400;
const fullRetryAfterMilliseconds = 120;
/** Minimum remaining time in which an answer is possible. */
const minAnswerMilliseconds = 2;
const minServerErrorStatus = 500;

type ServerResult =
    | { readonly kind: "done"; }
    /** Another backend server may be tried; `ran`: whether this one may have run the request. */
    | { readonly kind: "next"; readonly ran: boolean; readonly cause: string; readonly give?: () => void; };

/** Has one request answered by a plain service. */
export class ServiceExchange {
    private readonly sender: BackendSender;
    private readonly tried = new Set<string>();
    private readonly path: string[] = [];
    private runs = 0;

    private constructor(
        private readonly parts: ExchangeDependencies,
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
    ) {
        this.sender = BackendSender.create(parts);
    }

    static create(parts: ExchangeDependencies, request: CallerRequest, service: ServiceRule): ServiceExchange {
        return new ServiceExchange(parts, request, service);
    }

    /** Backend servers that were tried, with their results, for the log. */
    trace(): readonly string[] {
        return this.path;
    }

    /** Processes the request until it is answered, refused or failed. */
    async run(): Promise<void> {
        const { parts, request, service } = this;
        parts.retryAllowance.request(service.name);
        let last: Extract<ServerResult, { kind: "next"; }> | undefined;
        for (let round = 0; round < maxRounds; round++) {
            if (request.isGone() || refuseQuarantined(parts, request, this.runs > 0, this.path)) {
                return;
            }
            if (request.left() < minAnswerMilliseconds) {
                break;
            }
            const server = this.nextServer() ?? (round === 0 ? await this.firstServer() : undefined);
            if (server === undefined || (round > 0 && !await parts.retryAllowance.take(service.name))) {
                break;
            }
            const result = await this.sendTo(server);
            if (result.kind === "done") {
                return;
            }
            last = result;
            const { route } = request;
            if (result.ran && (route.kind !== "safe" || this.runs >= route.attempts)) {
                break;
            }
        }
        this.giveUp(last);
    }

    private nextServer(): ServerAnnouncement | undefined {
        const { instances, choice, clock } = this.parts;
        return choice.choose(instances.usable(this.service.name), this.tried, clock.monotonic());
    }

    /**
     * Waits until a first backend server is known: after a restart of every directory, the servers' heartbeats arrive again
     * within about a second. A caller that was refused at once would spend its only retry before that.
     */
    private async firstServer(): Promise<ServerAnnouncement | undefined> {
        const { clock } = this.parts;
        const until = clock.monotonic() + this.request.left() * firstServerWaitFraction;
        while (clock.monotonic() < until && !this.request.isGone()) {
            await new Promise<void>(resolve => clock.after(firstServerPollMilliseconds, resolve));
            const server = this.nextServer();
            if (server !== undefined) {
                return server;
            }
        }
        return undefined;
    }

    private giveUp(last: Extract<ServerResult, { kind: "next"; }> | undefined): void {
        const { request } = this;
        if (request.isGone()) {
            return;
        }
        if (last?.give !== undefined) {
            last.give();
        }
        else if (this.runs > 0) {
            request.fail(request.left() < minAnswerMilliseconds ? 504 : 502, last?.cause ?? "no answer");
        }
        else if (last === undefined) {
            request.refuse(noServerRetryAfterMilliseconds, "no backend server is known");
        }
        else {
            request.refuse(fullRetryAfterMilliseconds, last.cause);
        }
    }

    private async sendTo(server: ServerAnnouncement): Promise<ServerResult> {
        const { request, parts } = this;
        const { clock, choice, tally } = parts;
        const startedAt = clock.monotonic();
        choice.recordStart(server.id);
        const call = tally.recordStart(server, startedAt);
        const limit = TimeLimit.create(clock, this.serverTimeout(server), request.disconnected.signal);
        try {
            const sent = await this.sender.send(request, server, this.service, {}, limit.signal);
            const [result, outcome] = await this.classify(server, sent);
            const milliseconds = clock.monotonic() - startedAt;
            choice.recordOutcome(server, request.isGone() ? "answered" : outcome, milliseconds, clock.monotonic());
            if (!request.isGone()) {
                tally.recordOutcome(call, outcome, clock.monotonic());
            }
            this.path.push(`${server.id} ${outcome} ${Math.round(milliseconds)}`);
            return result;
        }
        finally {
            limit.clear();
            tally.discardCall(call);
        }
    }

    /**
     * Timeout in milliseconds of one backend server. Without it a hanging server would block a request that another one
     * could still answer in time. A request that may run only once gets all of its remaining time.
     */
    private serverTimeout(server: ServerAnnouncement): number {
        const { request, parts } = this;
        const { route } = request;
        const others = new Set([...this.tried, server.id]);
        const another = parts.choice.choose(parts.instances.usable(this.service.name), others, parts.clock.monotonic());
        const mayAskAnother = route.kind === "safe" && this.runs + 1 < route.attempts && another !== undefined;
        return mayAskAnother ? Math.min(request.left(), serverTimeoutFactor * route.target) : request.left();
    }

    private async classify(server: ServerAnnouncement, sent: SendResult): Promise<[ServerResult, CallOutcome]> {
        if (sent.kind === "notRun") {
            this.tried.add(server.id);
            return [{ kind: "next", ran: false, cause: sent.cause }, sent.unreachable ? "unreachable" : "rejected"];
        }
        this.runs += 1;
        this.tried.add(server.id);
        if (sent.kind === "unknown") {
            this.reportPossibleCrash(server);
            return [{ kind: "next", ran: true, cause: sent.cause }, "failed"];
        }
        const { answer, facts } = sent;
        const { status } = answer;
        if (status < 400 && !facts.sealed) {
            discard(answer);
            return [{ kind: "next", ran: true, cause: "the answer has no seal" }, "failed"];
        }
        const body = await readWholeBody(answer, maxAnswerBytes);
        if (body === undefined) {
            this.reportPossibleCrash(server);
            return [{ kind: "next", ran: true, cause: "the answer was cut off" }, "failed"];
        }
        const give = (): void => this.give(answer, body);
        if (status >= minServerErrorStatus) {
            return [{ kind: "next", ran: true, cause: `status ${status}`, give }, "failed"];
        }
        give();
        this.parts.crashes.reportAnswered(this.request);
        return [{ kind: "done" }, "answered"];
    }

    /** Reports that the server may have crashed while running the request. */
    private reportPossibleCrash(server: ServerAnnouncement): void {
        if (!this.request.isGone()) {
            void this.parts.crashes.reportLostRun(this.request, server, "whole");
        }
    }

    /**
     * Forwards an answer. 429 and 503 guarantee to a caller that its request has not run; forwarded from a backend server
     * that may have run it, they would make the caller send it again.
     */
    private give(answer: BackendAnswer, body: Buffer): void {
        const { status } = answer;
        const claimsNotRun = status === 503 || status === 429 || status === 408 || status === 421;
        if (claimsNotRun) {
            this.request.fail(502, `a backend server that may have run it answered ${status}`);
        }
        else {
            this.request.sendAnswer(answer, body);
        }
    }
}
