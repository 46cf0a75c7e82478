import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { servedVersion } from "../../coordination/orders/index.js";
import { digestOf } from "../../coordination/quarantine/index.js";
import {
    type GenerationRequest,
    identifyRun,
    type RequestDependencies,
    RequestDriver,
    type RequestScope,
    type RunIdentity,
} from "../../coordination/request/index.js";
import {
    blockTokens,
    callerHeaders,
    type EntrySettings,
    estimateTokens,
    type PrefixHash,
    type Refusal,
} from "../../protocol/index.js";
import type { BodyRoom } from "../listeners/index.js";
import { type CallerOptions, readCallerOptions } from "./callerHeaders.js";
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
import { notRun, sendRecordedAnswer, sendRefusal } from "./reply.js";
import { parseJson, readBody } from "./requestBody.js";

const defaultDeadlineMilliseconds = 600_000;

/** Limits and dependencies of the model API. */
export type ModelCallsOptions = {
    readonly requestDependencies: RequestDependencies;
    readonly prefixHash: PrefixHash;
    readonly limits: EntrySettings["limits"];
    readonly room: BodyRoom;
};

type ResolvedRequest = { readonly request: ModelRequest; readonly generationRequest: GenerationRequest; };

/** Serves /v1/chat/completions and /v1/completions. */
export class ModelCalls {
    private readonly expected = ExpectedTokens.create();

    private constructor(private readonly options: ModelCallsOptions) {}

    static create(options: ModelCallsOptions): ModelCalls {
        return new ModelCalls(options);
    }

    /** Handles one call; settles once it is answered, refused or abandoned. */
    async serve(
        form: ModelForm,
        path: string,
        requestId: string,
        request: IncomingMessage,
        response: ServerResponse,
        scope: RequestScope,
    ): Promise<void> {
        const { clock } = this.options.requestDependencies;
        const receivedAt = clock.monotonic();
        const { limits, room } = this.options;
        const body = await readBody(request, response, { limits, clock, room }, scope);
        const resolved = body.chain(bytes => this.resolve(form, path, requestId, request, bytes, receivedAt));
        if (resolved.isLeft()) {
            const refusal = resolved.extract() as Refusal;
            this.options.requestDependencies.metrics.count("basilpaddle_refusals_total", {
                pool: "",
                code: refusal.code,
                outcome: refusal.outcome,
            });
            sendRefusal(response, refusal, requestId);
            return;
        }
        await this.drive(resolved.extract() as ResolvedRequest, response, scope);
    }

    private async drive(
        { request, generationRequest }: ResolvedRequest,
        response: ServerResponse,
        scope: RequestScope,
    ): Promise<void> {
        const { requestDependencies: dependencies, limits } = this.options;
        const { requestId } = generationRequest;
        const answer = ModelAnswer.create({
            request,
            requestId,
            response,
            scope,
            clock: dependencies.clock,
            limits,
            retainsText: generationRequest.run !== undefined,
        });
        const onClose = () => scope.stop("callerGone");
        response.once("close", onClose);
        if (response.destroyed) {
            onClose();
        }
        const end = await RequestDriver.drive(dependencies, generationRequest, answer, scope);
        response.off("close", onClose);
        if (end.kind === "replayed") {
            sendRecordedAnswer(response, end.answer);
        }
        else if (end.kind === "refused") {
            dependencies.logger.debug("request refused", { request: requestId, ...end.refusal });
            answer.refuse(end.refusal);
        }
        else {
            this.expected.record(generationRequest.pool, end.tokens);
        }
    }

    private resolve(
        form: ModelForm,
        path: string,
        requestId: string,
        request: IncomingMessage,
        bytes: Buffer,
        receivedAt: number,
    ): Either<Refusal, ResolvedRequest> {
        const declaration = this.options.requestDependencies.control.view().configuration.declaration;
        return readCallerOptions(request).chain(callerOptions =>
            parseJson(bytes)
                .chain(body => readModelRequest(form, body))
                .chain(model =>
                    findTarget(declaration, callerOptions.organisation, model.model).chain(target =>
                        runIdentityOf(callerOptions, target, path, bytes).map(run => ({
                            request: model,
                            generationRequest: this.createGenerationRequest(
                                requestId,
                                receivedAt,
                                callerOptions,
                                model,
                                target,
                                run,
                                path,
                                bytes,
                            ),
                        }))
                    )
                )
        );
    }

    private createGenerationRequest(
        requestId: string,
        receivedAt: number,
        callerOptions: CallerOptions,
        request: ModelRequest,
        target: ModelTarget,
        run: RunIdentity | undefined,
        path: string,
        body: Buffer,
    ): GenerationRequest {
        const deadline = Math.min(
            target.route?.deadline ?? defaultDeadlineMilliseconds,
            callerOptions.deadline ?? Infinity,
        );
        return {
            requestId,
            pool: target.poolName,
            organisation: callerOptions.organisation,
            digest: digestOf({ caller: callerOptions.organisation, method: "POST", target: path, body }),
            generation: {
                ...generationOf(request, target),
                version: servedVersion(this.options.requestDependencies.control.view(), target.poolName, target.model),
            },
            promptTokens: estimateTokens(request.prompt),
            prefixes: this.options.prefixHash.prefixes(request.prompt),
            blockTokens,
            expectedTokens: this.expected.estimate(target.poolName, request.maxTokens),
            receivedAt,
            deadlineAt: receivedAt + deadline,
            targets: target.pool.targets,
            run,
        };
    }
}

/** Identifies the run of a non-idempotent request. Either the route or the caller can mark a request as non-idempotent. */
function runIdentityOf(
    callerOptions: CallerOptions,
    target: ModelTarget,
    path: string,
    bytes: Buffer,
): Either<Refusal, RunIdentity | undefined> {
    if (target.route?.nonIdempotent !== true && !callerOptions.nonIdempotent) {
        return Right(undefined);
    }
    if (callerOptions.key === undefined) {
        return Left(notRun("keyMissing", `a non-idempotent request needs the header ${callerHeaders.key}`));
    }
    // The run is identified by the path instead of the route, since a route may be renamed between a request and its retry.
    return Right(identifyRun(callerOptions.organisation, path, callerOptions.key, bytes));
}
