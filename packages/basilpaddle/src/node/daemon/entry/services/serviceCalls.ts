import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type Arrived, digestOf, heldRefusal, lifeOf } from "../../../coordination/quarantine/index.js";
import { identifyRun, type RequestParts, type RequestScope, type Run } from "../../../coordination/request/index.js";
import { type Announcement, callerHeaders, type EntrySettings, type Refusal } from "../../../protocol/index.js";
import { DisposableStore } from "../../../utils/index.js";
import { type CallerWishes, readWishes } from "../callerHeaders.js";
import { notRun, sendKept, sendRefusal } from "../reply.js";
import { readBody } from "../requestBody.js";
import { LimitedBody } from "./limitedBody.js";
import { handOver, outcomeOfBreak } from "./onceOnly.js";
import { failed, sendTo, type Sent, type ServiceCall, writeHead } from "./serviceCall.js";
import type { ServiceConnections } from "./serviceConnections.js";
import type { ServiceRoute } from "./serviceRoute.js";

/** What calls of plain services need. */
export type ServiceCallParts = {
    readonly request: RequestParts;
    readonly limits: EntrySettings["limits"];
    readonly connections: ServiceConnections;
};

const firstFailure = 400;
const viewExpired = failed("viewExpired", "notRun", "this daemon's view of the deployment is not confirmed");

/** Passes calls on to plain services. Nothing is ever answered from an earlier call, but from a recorded run. */
export class ServiceCalls {
    private constructor(private readonly parts: ServiceCallParts) {}

    static create(parts: ServiceCallParts): ServiceCalls {
        return new ServiceCalls(parts);
    }

    /** Answers one call. */
    async serve(
        route: ServiceRoute,
        requestId: string,
        request: IncomingMessage,
        response: ServerResponse,
        scope: RequestScope,
    ): Promise<void> {
        const store = DisposableStore.create();
        try {
            await this.answer({ route, requestId, request, response, scope, store });
        }
        finally {
            await store.dispose();
        }
    }

    private async answer(call: ServiceCall): Promise<void> {
        const { request, response, scope, route, store } = call;
        const wishes = readWishes(request);
        if (wishes.isLeft()) {
            this.refuse(call, wishes.extract() as Refusal);
            return;
        }
        const wished = wishes.extract() as CallerWishes;
        const limit = Math.min(route.service.timeout, wished.deadline ?? Infinity);
        store.add(this.parts.request.clock.after(limit, () => scope.stop("deadlineExceeded")));
        const methods: readonly string[] = route.service.idempotentMethods;
        if (wished.nonIdempotent || !methods.includes(request.method ?? "")) {
            await this.serveOnce(call, wished, limit);
            return;
        }
        const gone = () => scope.stop("callerGone");
        response.once("close", gone);
        store.add(() => void response.off("close", gone));
        await this.passOn(call, wished);
    }

    /** A call that may be repeated: streamed both ways; once more elsewhere if it is proved that nothing was sent. */
    private async passOn(asked: ServiceCall, wished: CallerWishes): Promise<void> {
        const body = LimitedBody.of(asked.request, this.parts.limits.bodyBytes);
        // What a body holds that is streamed through isn't known before it is sent.
        const call = body === undefined ? { ...asked, arrived: arrivedOf(asked, wished, body) } : asked;
        const avoided = new Set<string>();
        for (;;) {
            const sent = await this.send(
                call,
                avoided,
                copy => sendTo(call, copy, this.parts.connections.shared, body, call.scope.signal),
            );
            if (sent.kind === "answer") {
                writeHead(call, sent.answer, undefined);
                await pipeline(sent.answer.body, call.response).then(
                    () => this.noteAnswer(call, sent),
                    (failure: unknown) => this.cut(call, sent.copy, failure),
                );
                return;
            }
            const mayRepeat = sent.refusal.code === "noBackend" && avoided.size === 1 && body === undefined;
            if (!mayRepeat || call.scope.stopped !== undefined) {
                this.refuse(call, sent.refusal);
                return;
            }
        }
    }

    /** A call that runs at most once: recorded before its first byte leaves, on a connection of its own. */
    private async serveOnce(call: ServiceCall, wished: CallerWishes, limit: number): Promise<void> {
        const { request: parts, limits } = this.parts;
        if (wished.key === undefined) {
            const message = `this call runs at most once and needs the header ${callerHeaders.key}`;
            this.refuse(call, notRun("keyMissing", message));
            return;
        }
        const read = await readBody(call.request, call.response, limits, parts.clock);
        if (read.isLeft()) {
            this.refuse(call, read.extract() as Refusal);
            return;
        }
        const body = read.extract() as Buffer;
        if (!parts.control.mayStart()) {
            this.refuse(call, viewExpired.refusal);
            return;
        }
        const { name } = call.route;
        const content = Buffer.concat([Buffer.from(`${call.request.method} ${call.request.url}\n`), body]);
        const start = await parts.runs.start(identifyRun(wished.organisation, `/${name}`, wished.key, content), limit);
        if (start.kind === "replayed") {
            sendKept(call.response, start.answer);
        }
        else if (start.kind === "refused") {
            this.refuse(call, start.refusal);
        }
        else {
            await this.carryOut({ ...call, arrived: arrivedOf(call, wished, body) }, start.run, body);
        }
    }

    private async carryOut(call: ServiceCall, run: Run, body: Buffer): Promise<void> {
        const { runs } = this.parts.request;
        const connections = this.parts.connections;
        const sent = await this.send(call, new Set(), async copy => {
            const connection = connections.forOneCall(copy);
            call.store.add(() => connection.destroy());
            return sendTo(call, copy, connection, body.length > 0 ? body : undefined, call.scope.signal);
        });
        if (sent.kind === "answer") {
            await handOver(this.parts.request, run, call, sent.answer).then(
                () => this.noteAnswer(call, sent),
                (failure: unknown) => this.cut(call, sent.copy, failure),
            );
            return;
        }
        const { outcome } = sent.refusal;
        await (outcome === "notRun" ? runs.release(run) : runs.finish(run, outcome, undefined));
        this.refuse(call, sent.refusal);
    }

    private async send(
        call: ServiceCall,
        avoided: Set<string>,
        sendToCopy: (copy: Announcement) => Promise<Sent>,
    ): Promise<Sent> {
        const { control, marks } = this.parts.request;
        const { name } = call.route;
        const { crashes, logger } = this.parts.request;
        const held = call.arrived && heldRefusal(crashes, call.arrived, logger);
        if (held !== undefined) {
            return { kind: "failed", refusal: held };
        }
        const isAvoided = (copy: Announcement) => avoided.has(copy.id) || marks.isLeaving(copy.id, copy.incarnation);
        const copy = this.parts.connections.pick(control.view(), name, isAvoided);
        if (copy === undefined) {
            return failed("noBackend", "notRun", `no copy of the service ${name} is ready`);
        }
        avoided.add(copy.id);
        if (!control.mayStart()) {
            return viewExpired;
        }
        if (call.scope.stopped !== undefined) {
            return failed(call.scope.stopped, "notRun", "stopped before it was sent");
        }
        call.store.add(this.parts.connections.enter(copy));
        const sent = await sendToCopy(copy);
        if (sent.kind === "failed" && sent.refusal.code === "backendFailed") {
            this.noteLoss(call, copy);
        }
        return sent;
    }

    private noteLoss({ arrived }: ServiceCall, copy: Announcement): void {
        if (arrived !== undefined) {
            void this.parts.request.crashes.lost(arrived, lifeOf(copy), "whole");
        }
    }

    private noteAnswer({ arrived }: ServiceCall, { answer }: Extract<Sent, { kind: "answer"; }>): void {
        if (arrived !== undefined && answer.statusCode < firstFailure) {
            this.parts.request.crashes.answered(arrived);
        }
    }

    private cut(call: ServiceCall, copy: Announcement, failure: unknown): void {
        if (call.scope.stopped === undefined) {
            this.noteLoss(call, copy);
        }
        this.parts.request.logger.warn("call of a service broke off", {
            request: call.requestId,
            failure: String(failure),
        });
        const code = call.scope.stopped ?? "backendFailed";
        this.refuse(call, { code, outcome: outcomeOfBreak, message: "the service's answer broke off" });
    }

    private refuse(call: ServiceCall, refusal: Refusal): void {
        this.parts.request.metrics.count("basilpaddle_refusals_total", {
            pool: call.route.name,
            code: refusal.code,
            outcome: refusal.outcome,
        });
        sendRefusal(call.response, refusal, call.requestId);
    }
}

function arrivedOf(call: ServiceCall, wished: CallerWishes, body: Buffer | undefined): Arrived {
    const { method = "GET", url = "/" } = call.request;
    const digest = digestOf({ caller: wished.organisation, method, target: url, body });
    return { digest, attempt: call.requestId };
}
