import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { servedVersion } from "../../coordination/orders/index.js";
import { digestOf } from "../../coordination/quarantine/index.js";
import {
    identifyRun,
    RequestDriver,
    type RequestParts,
    type RequestScope,
    type RunIdentity,
    type Work,
} from "../../coordination/request/index.js";
import {
    blockTokens,
    callerHeaders,
    type EntrySettings,
    estimateTokens,
    type PrefixHash,
    type Refusal,
} from "../../protocol/index.js";
import { type CallerWishes, readWishes } from "./callerHeaders.js";
import { ExpectedTokens } from "./expectedTokens.js";
import { ModelAnswer } from "./modelAnswer.js";
import {
    findTarget,
    generationOf,
    type ModelForm,
    type ModelRequest,
    type ModelTarget,
    readModelRequest,
} from "./modelRequest.js";
import { notRun, sendKept, sendRefusal } from "./reply.js";
import { parseJson, readBody } from "./requestBody.js";

const defaultDeadline = 600_000;

/** What calls of models need. */
export type ModelCallParts = {
    readonly request: RequestParts;
    readonly prefixHash: PrefixHash;
    readonly limits: EntrySettings["limits"];
};

type Resolved = { readonly request: ModelRequest; readonly work: Work; };

/** Serves /v1/chat/completions and /v1/completions. */
export class ModelCalls {
    private readonly expected = ExpectedTokens.create();

    private constructor(private readonly parts: ModelCallParts) {}

    static create(parts: ModelCallParts): ModelCalls {
        return new ModelCalls(parts);
    }

    /** Answers one call; settles once the answer is written, refused or given up. */
    async serve(
        form: ModelForm,
        path: string,
        requestId: string,
        request: IncomingMessage,
        response: ServerResponse,
        scope: RequestScope,
    ): Promise<void> {
        const { clock } = this.parts.request;
        const receivedAt = clock.monotonic();
        const body = await readBody(request, response, this.parts.limits, clock);
        const resolved = body.chain(bytes => this.resolve(form, path, requestId, request, bytes, receivedAt));
        if (resolved.isLeft()) {
            const refusal = resolved.extract() as Refusal;
            this.parts.request.metrics.count("basilpaddle_refusals_total", {
                pool: "",
                code: refusal.code,
                outcome: refusal.outcome,
            });
            sendRefusal(response, refusal, requestId);
            return;
        }
        await this.drive(resolved.extract() as Resolved, response, scope);
    }

    private async drive({ request, work }: Resolved, response: ServerResponse, scope: RequestScope): Promise<void> {
        const { request: parts, limits } = this.parts;
        const { requestId } = work;
        const answer = ModelAnswer.create({
            request,
            requestId,
            response,
            scope,
            clock: parts.clock,
            limits,
            keeps: work.run !== undefined,
        });
        const gone = () => scope.stop("callerGone");
        response.once("close", gone);
        if (response.destroyed) {
            gone();
        }
        const end = await RequestDriver.drive(parts, work, answer, scope);
        response.off("close", gone);
        if (end.kind === "replayed") {
            sendKept(response, end.answer);
        }
        else if (end.kind === "refused") {
            parts.logger.debug("request refused", { request: requestId, ...end.refusal });
            answer.refuse(end.refusal);
        }
        else {
            this.expected.learn(work.pool, end.tokens);
        }
    }

    private resolve(
        form: ModelForm,
        path: string,
        requestId: string,
        request: IncomingMessage,
        bytes: Buffer,
        receivedAt: number,
    ): Either<Refusal, Resolved> {
        const declaration = this.parts.request.control.view().configuration.declaration;
        return readWishes(request).chain(wishes =>
            parseJson(bytes)
                .chain(body => readModelRequest(form, body))
                .chain(model =>
                    findTarget(declaration, wishes.organisation, model.model).chain(target =>
                        runOf(wishes, target, path, bytes).map(run => ({
                            request: model,
                            work: this.work(requestId, receivedAt, wishes, model, target, run, path, bytes),
                        }))
                    )
                )
        );
    }

    private work(
        requestId: string,
        receivedAt: number,
        wishes: CallerWishes,
        request: ModelRequest,
        target: ModelTarget,
        run: RunIdentity | undefined,
        path: string,
        body: Buffer,
    ): Work {
        const deadline = Math.min(target.route?.deadline ?? defaultDeadline, wishes.deadline ?? Infinity);
        return {
            requestId,
            pool: target.poolName,
            organisation: wishes.organisation,
            digest: digestOf({ caller: wishes.organisation, method: "POST", target: path, body }),
            generation: {
                ...generationOf(request, target),
                version: servedVersion(this.parts.request.control.view(), target.poolName, target.model),
            },
            promptTokens: estimateTokens(request.prompt),
            prefixes: this.parts.prefixHash.prefixes(request.prompt),
            blockTokens,
            expectedTokens: this.expected.expect(target.poolName, request.maxTokens),
            receivedAt,
            deadlineAt: receivedAt + deadline,
            targets: target.pool.targets,
            run,
        };
    }
}

/** Names the run of a non-idempotent request. The route's mark and the caller's are both enough alone. */
function runOf(
    wishes: CallerWishes,
    target: ModelTarget,
    path: string,
    bytes: Buffer,
): Either<Refusal, RunIdentity | undefined> {
    if (target.route?.nonIdempotent !== true && !wishes.nonIdempotent) {
        return Right(undefined);
    }
    if (wishes.key === undefined) {
        return Left(notRun("keyMissing", `a non-idempotent request needs the header ${callerHeaders.key}`));
    }
    // The path names the route: a route's own name may change between a request and its repetition.
    return Right(identifyRun(wishes.organisation, path, wishes.key, bytes));
}
