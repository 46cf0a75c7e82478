import type { CallOutcome } from "../../coordination/index.js";
import type { Announced, ServiceRule } from "../../protocol/index.js";
import { type BackendAnswer, discard, wholeBody } from "../backends/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { type ExchangeParts, Sender, type Sent } from "./exchange.js";
import { refuseHeld } from "./refuseHeld.js";
import { TimeLimit } from "./timeLimit.js";

/** Largest answer in bytes that is taken in whole before it is passed on. */
const answerLimit = 16 * 1024 * 1024;
/** Most backend servers that are asked in turn, those that turn the request away included. */
const mostTurns = 4;
/** Times the target that a backend server has for a request which may run again, before another one is asked. */
const patienceFactor = 1.5;
/** Part of a request's time that it waits where no backend server is known, and milliseconds between two looks. */
const firstServerPart = 0.5;
const firstServerPoll = 20;
/** Milliseconds after which a caller who found no server, or only full ones, should come back. */
const noServerComeBack = 400;
const fullComeBack = 120;
/** Least milliseconds in which an answer can come. */
const leastTime = 2;
const firstServerError = 500;

type Verdict =
    | { readonly kind: "done"; }
    /** Another backend server may be asked; `ran` tells whether this one may have run it. */
    | { readonly kind: "next"; readonly ran: boolean; readonly cause: string; readonly give?: () => void; };

/** Has one request answered by a plain service. */
export class ServiceExchange {
    private readonly sender: Sender;
    private readonly tried = new Set<string>();
    private readonly path: string[] = [];
    private runs = 0;

    private constructor(
        private readonly parts: ExchangeParts,
        private readonly request: CallerRequest,
        private readonly service: ServiceRule,
    ) {
        this.sender = Sender.create(parts);
    }

    static create(parts: ExchangeParts, request: CallerRequest, service: ServiceRule): ServiceExchange {
        return new ServiceExchange(parts, request, service);
    }

    /** Backend servers asked and what they did, for the log. */
    trace(): readonly string[] {
        return this.path;
    }

    /** Drives the request to its end. */
    async run(): Promise<void> {
        const { parts, request, service } = this;
        parts.repeats.request(service.name);
        let last: Extract<Verdict, { kind: "next"; }> | undefined;
        for (let turn = 0; turn < mostTurns; turn++) {
            if (request.isGone() || refuseHeld(parts, request, this.runs > 0, this.path)) {
                return;
            }
            if (request.left() < leastTime) {
                break;
            }
            const server = this.nextServer() ?? (turn === 0 ? await this.firstServer() : undefined);
            if (server === undefined || (turn > 0 && !await parts.repeats.take(service.name))) {
                break;
            }
            const verdict = await this.ask(server);
            if (verdict.kind === "done") {
                return;
            }
            last = verdict;
            const { route } = request;
            if (verdict.ran && (route.kind !== "safe" || this.runs >= route.attempts)) {
                break;
            }
        }
        this.giveUp(last);
    }

    private nextServer(): Announced | undefined {
        const { instances, choice, clock } = this.parts;
        return choice.choose(instances.usable(this.service.name), this.tried, clock.monotonic());
    }

    /**
     * Waits for a first backend server to be known: after a restart of every directory their heartbeats come in again
     * within a second or so. The caller's one retry would be spent before that.
     */
    private async firstServer(): Promise<Announced | undefined> {
        const { clock } = this.parts;
        const until = clock.monotonic() + this.request.left() * firstServerPart;
        while (clock.monotonic() < until && !this.request.isGone()) {
            await new Promise<void>(resolve => clock.after(firstServerPoll, resolve));
            const server = this.nextServer();
            if (server !== undefined) {
                return server;
            }
        }
        return undefined;
    }

    private giveUp(last: Extract<Verdict, { kind: "next"; }> | undefined): void {
        const { request } = this;
        if (request.isGone()) {
            return;
        }
        if (last?.give !== undefined) {
            last.give();
        }
        else if (this.runs > 0) {
            request.fail(request.left() < leastTime ? 504 : 502, last?.cause ?? "no answer");
        }
        else if (last === undefined) {
            request.refuse(noServerComeBack, "no backend server is known");
        }
        else {
            request.refuse(fullComeBack, last.cause);
        }
    }

    private async ask(server: Announced): Promise<Verdict> {
        const { request, parts } = this;
        const { clock, choice, tally } = parts;
        const startedAt = clock.monotonic();
        choice.began(server.id);
        const call = tally.began(server, startedAt);
        const limit = TimeLimit.create(clock, this.patience(server), request.gone.signal);
        try {
            const sent = await this.sender.send(request, server, this.service, {}, limit.signal);
            const [verdict, outcome] = await this.judge(server, sent);
            const milliseconds = clock.monotonic() - startedAt;
            choice.ended(server, request.isGone() ? "answered" : outcome, milliseconds, clock.monotonic());
            if (!request.isGone()) {
                tally.ended(call, outcome, clock.monotonic());
            }
            this.path.push(`${server.id} ${outcome} ${Math.round(milliseconds)}`);
            return verdict;
        }
        finally {
            limit.end();
            tally.dropped(call);
        }
    }

    /**
     * How long a backend server has. One that hangs would otherwise hold a request that another could still answer in
     * time; where the request may run only once there is nothing to do but wait.
     */
    private patience(server: Announced): number {
        const { request, parts } = this;
        const { route } = request;
        const others = new Set([...this.tried, server.id]);
        const another = parts.choice.choose(parts.instances.usable(this.service.name), others, parts.clock.monotonic());
        const mayAskAnother = route.kind === "safe" && this.runs + 1 < route.attempts && another !== undefined;
        return mayAskAnother ? Math.min(request.left(), patienceFactor * route.target) : request.left();
    }

    private async judge(server: Announced, sent: Sent): Promise<[Verdict, CallOutcome]> {
        if (sent.kind === "notRun") {
            this.tried.add(server.id);
            return [{ kind: "next", ran: false, cause: sent.cause }, sent.unreachable ? "unreachable" : "rejected"];
        }
        this.runs += 1;
        this.tried.add(server.id);
        if (sent.kind === "unknown") {
            this.noteLoss(server);
            return [{ kind: "next", ran: true, cause: sent.cause }, "failed"];
        }
        const { answer, facts } = sent;
        const { status } = answer;
        if (status < 400 && !facts.sealed) {
            discard(answer);
            return [{ kind: "next", ran: true, cause: "an answer without its seal" }, "failed"];
        }
        const body = await wholeBody(answer, answerLimit);
        if (body === undefined) {
            this.noteLoss(server);
            return [{ kind: "next", ran: true, cause: "an answer that broke off" }, "failed"];
        }
        const give = (): void => this.give(answer, body);
        if (status >= firstServerError) {
            return [{ kind: "next", ran: true, cause: `status ${status}`, give }, "failed"];
        }
        give();
        this.parts.crashes.answered(this.request);
        return [{ kind: "done" }, "answered"];
    }

    /** The server may have ended under the request. */
    private noteLoss(server: Announced): void {
        if (!this.request.isGone()) {
            void this.parts.crashes.lost(this.request, server, "whole");
        }
    }

    /**
     * Passes an answer on. 429 and 503 promise a caller that its request has not run; from a backend server that did
     * run it they would have it sent again.
     */
    private give(answer: BackendAnswer, body: Buffer): void {
        const { status } = answer;
        const promises = status === 503 || status === 429 || status === 408 || status === 421;
        if (promises) {
            this.request.fail(502, `a backend server that may have run it answered ${status}`);
        }
        else {
            this.request.give(answer, body);
        }
    }
}
