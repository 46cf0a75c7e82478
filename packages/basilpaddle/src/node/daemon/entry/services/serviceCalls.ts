import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import {
    backendIncarnationOf,
    digestOf,
    quarantineRefusal,
    type RequestAttempt,
} from "../../../coordination/quarantine/index.js";
import {
    identifyRun,
    type RequestDependencies,
    type RequestScope,
    type Run,
} from "../../../coordination/request/index.js";
import { type Announcement, callerHeaders, type EntrySettings, type Refusal } from "../../../protocol/index.js";
import { DisposableStore } from "../../../utils/index.js";
import type { BodyRoom } from "../../listeners/index.js";
import { type CallerOptions, readCallerOptions } from "../callerHeaders.js";
import { notRun, sendRecordedAnswer, sendRefusal } from "../reply.js";
import { readBody } from "../requestBody.js";
import { LimitedBody } from "./limitedBody.js";
import { brokenAnswerOutcome, forwardRecordedAnswer } from "./recordedCall.js";
import { failedResult, type SendResult, sendTo, type ServiceCall, writeHead } from "./serviceCall.js";
import type { ServiceConnections } from "./serviceConnections.js";
import type { ServiceRoute } from "./serviceRoute.js";

/** Limits and dependencies of calls to plain services. */
export type ServiceCallsOptions = {
    readonly requestDependencies: RequestDependencies;
    readonly limits: EntrySettings["limits"];
    readonly room: BodyRoom;
    readonly connections: ServiceConnections;
};

const firstErrorStatus = 400;
const viewExpired = failedResult("viewExpired", "notRun", "this daemon's view of the deployment is not confirmed");

/** Forwards calls to plain services. Answers are never cached; only a recorded run is replayed. */
export class ServiceCalls {
    private constructor(private readonly options: ServiceCallsOptions) {}

    static create(options: ServiceCallsOptions): ServiceCalls {
        return new ServiceCalls(options);
    }

    /** Handles one call. */
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
        const parsed = readCallerOptions(request);
        if (parsed.isLeft()) {
            this.refuse(call, parsed.extract() as Refusal);
            return;
        }
        const callerOptions = parsed.extract() as CallerOptions;
        const limit = Math.min(route.service.timeout, callerOptions.deadline ?? Infinity);
        store.add(this.options.requestDependencies.clock.after(limit, () => scope.stop("deadlineExceeded")));
        const methods: readonly string[] = route.service.idempotentMethods;
        if (callerOptions.nonIdempotent || !methods.includes(request.method ?? "")) {
            await this.serveAtMostOnce(call, callerOptions, limit);
            return;
        }
        const onClose = () => scope.stop("callerGone");
        response.once("close", onClose);
        store.add(() => void response.off("close", onClose));
        await this.forward(call, callerOptions);
    }

    /**
     * Forwards an idempotent call, streamed in both directions. A call without a body is retried once at another instance
     * if it is certain that nothing was sent.
     */
    private async forward(originalCall: ServiceCall, callerOptions: CallerOptions): Promise<void> {
        const body = LimitedBody.forRequest(originalCall.request, this.options.limits.bodyBytes);
        // The digest of a streamed body isn't known before the body is forwarded.
        const call = body === undefined
            ? { ...originalCall, attemptIdentity: attemptIdentityOf(originalCall, callerOptions, body) }
            : originalCall;
        const tried = new Set<string>();
        for (;;) {
            const sent = await this.send(
                call,
                tried,
                instance => sendTo(call, instance, this.options.connections.shared, body, call.scope.signal),
            );
            if (sent.kind === "answer") {
                writeHead(call, sent.answer, undefined);
                // Its end is left to this, since a truncated answer has one of its own.
                await pipeline(sent.answer.body, call.response, { end: false }).then(
                    () => {
                        call.response.end();
                        this.reportAnswer(call, sent);
                    },
                    (failure: unknown) => this.endBrokenAnswer(call, sent.instance, failure),
                );
                return;
            }
            const mayRetry = sent.refusal.code === "noBackend" && tried.size === 1 && body === undefined;
            if (!mayRetry || call.scope.stopped !== undefined) {
                this.refuse(call, sent.refusal);
                return;
            }
        }
    }

    /** Handles a call that runs at most once: it is recorded before its first byte is sent, and sent on a dedicated connection. */
    private async serveAtMostOnce(call: ServiceCall, callerOptions: CallerOptions, limit: number): Promise<void> {
        const { requestDependencies: dependencies, limits, room } = this.options;
        if (callerOptions.key === undefined) {
            const message = `this call runs at most once and needs the header ${callerHeaders.key}`;
            this.refuse(call, notRun("keyMissing", message));
            return;
        }
        const { request, response, scope } = call;
        const bodyResult = await readBody(request, response, { limits, clock: dependencies.clock, room }, scope);
        if (bodyResult.isLeft()) {
            this.refuse(call, bodyResult.extract() as Refusal);
            return;
        }
        const body = bodyResult.extract() as Buffer;
        if (!dependencies.control.mayStart()) {
            this.refuse(call, viewExpired.refusal);
            return;
        }
        const { name } = call.route;
        const runContent = Buffer.concat([Buffer.from(`${call.request.method} ${call.request.url}\n`), body]);
        const start = await dependencies.runRecords.start(
            identifyRun(callerOptions.organisation, `/${name}`, callerOptions.key, runContent),
            limit,
        );
        if (start.kind === "replayed") {
            sendRecordedAnswer(call.response, start.answer);
        }
        else if (start.kind === "refused") {
            this.refuse(call, start.refusal);
        }
        else {
            await this.runRecorded(
                { ...call, attemptIdentity: attemptIdentityOf(call, callerOptions, body) },
                start.run,
                body,
            );
        }
    }

    private async runRecorded(call: ServiceCall, run: Run, body: Buffer): Promise<void> {
        const { runRecords } = this.options.requestDependencies;
        const connections = this.options.connections;
        const sent = await this.send(call, new Set(), async instance => {
            const connection = connections.createDedicated(instance);
            call.store.add(() => connection.destroy());
            return sendTo(call, instance, connection, body.length > 0 ? body : undefined, call.scope.signal);
        });
        if (sent.kind === "answer") {
            await forwardRecordedAnswer(this.options.requestDependencies, run, call, sent.answer).then(
                () => this.reportAnswer(call, sent),
                (failure: unknown) => this.endBrokenAnswer(call, sent.instance, failure),
            );
            return;
        }
        const { outcome } = sent.refusal;
        await (outcome === "notRun" ? runRecords.release(run) : runRecords.finish(run, outcome, undefined));
        this.refuse(call, sent.refusal);
    }

    private async send(
        call: ServiceCall,
        tried: Set<string>,
        sendToInstance: (instance: Announcement) => Promise<SendResult>,
    ): Promise<SendResult> {
        const { control, leavingBackends } = this.options.requestDependencies;
        const { name } = call.route;
        const { crashDetector, logger } = this.options.requestDependencies;
        const quarantined = call.attemptIdentity && quarantineRefusal(crashDetector, call.attemptIdentity, logger);
        if (quarantined !== undefined) {
            return { kind: "failed", refusal: quarantined };
        }
        const isExcluded = (instance: Announcement) =>
            tried.has(instance.id) || leavingBackends.isLeaving(instance.id, instance.incarnation);
        const instance = this.options.connections.pick(control.view(), name, isExcluded);
        if (instance === undefined) {
            return failedResult("noBackend", "notRun", `no instance of the service ${name} is ready`);
        }
        tried.add(instance.id);
        if (!control.mayStart()) {
            return viewExpired;
        }
        if (call.scope.stopped !== undefined) {
            return failedResult(call.scope.stopped, "notRun", "stopped before the call was sent");
        }
        call.store.add(this.options.connections.trackCall(instance));
        const sent = await sendToInstance(instance);
        if (sent.kind === "failed" && sent.refusal.code === "backendFailed") {
            this.reportLostInstance(call, instance);
        }
        return sent;
    }

    private reportLostInstance({ attemptIdentity }: ServiceCall, instance: Announcement): void {
        if (attemptIdentity !== undefined) {
            void this.options.requestDependencies.crashDetector.reportLostRun(
                attemptIdentity,
                backendIncarnationOf(instance),
                "whole",
            );
        }
    }

    private reportAnswer({ attemptIdentity }: ServiceCall, { answer }: Extract<SendResult, { kind: "answer"; }>): void {
        if (attemptIdentity !== undefined && answer.statusCode < firstErrorStatus) {
            this.options.requestDependencies.crashDetector.reportAnswered(attemptIdentity);
        }
    }

    private endBrokenAnswer(call: ServiceCall, instance: Announcement, failure: unknown): void {
        if (call.scope.stopped === undefined) {
            this.reportLostInstance(call, instance);
        }
        this.options.requestDependencies.logger.warn("call to a service ended prematurely", {
            request: call.requestId,
            failure: String(failure),
        });
        const code = call.scope.stopped ?? "backendFailed";
        this.refuse(call, { code, outcome: brokenAnswerOutcome, message: "the service's answer ended prematurely" });
    }

    private refuse(call: ServiceCall, refusal: Refusal): void {
        this.options.requestDependencies.metrics.count("basilpaddle_refusals_total", {
            pool: call.route.name,
            code: refusal.code,
            outcome: refusal.outcome,
        });
        sendRefusal(call.response, refusal, call.requestId);
    }
}

function attemptIdentityOf(call: ServiceCall, callerOptions: CallerOptions, body: Buffer | undefined): RequestAttempt {
    const { method = "GET", url = "/" } = call.request;
    const digest = digestOf({ caller: callerOptions.organisation, method, target: url, body });
    return { digest, attempt: call.requestId };
}
