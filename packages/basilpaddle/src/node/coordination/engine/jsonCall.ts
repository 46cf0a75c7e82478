import { type Either, Left, Right } from "purify-ts";
import type { Dispatcher } from "undici";
import type { z } from "zod";
import type { Clock } from "../../utils/index.js";
import type { EngineFailure } from "./engine.js";
import { failureFromResponse, parseJson, unknownOutcome } from "./engineFailure.js";
import { EngineHttpCall } from "./engineHttpCall.js";
import type { EngineLimits } from "./engineLimits.js";

/** A call whose answer is a single JSON value, validated by a schema. */
export class JsonCall<T> extends EngineHttpCall {
    private status = 0;
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    private constructor(
        clock: Clock,
        private readonly limits: EngineLimits,
        private readonly timeout: number,
        private readonly schema: z.ZodType<T>,
        private readonly settle: (answer: Either<EngineFailure, T>) => void,
    ) {
        super(clock, Math.min(limits.connect, timeout));
    }

    /** Sends the request. Resolves with the parsed answer or the failure, within the timeout in milliseconds. */
    static send<T>(
        dispatcher: Dispatcher,
        options: Dispatcher.DispatchOptions,
        schema: z.ZodType<T>,
        clock: Clock,
        limits: EngineLimits,
        timeout: number,
        signal?: AbortSignal,
    ): Promise<Either<EngineFailure, T>> {
        return new Promise(resolve => {
            new JsonCall(clock, limits, timeout, schema, resolve).dispatch(dispatcher, options, signal);
        });
    }

    override onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
        this.status = status;
    }

    override onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.bytes += chunk.length;
        if (this.bytes > this.limits.answerBytes) {
            this.fail("the engine's answer exceeds the size limit");
            return;
        }
        this.chunks.push(chunk);
    }

    override onResponseEnd(): void {
        if (this.finish()) {
            this.settle(this.parseAnswer());
        }
    }

    protected override started(): void {
        this.setTimeLimit(this.timeout - this.elapsed(), "the engine did not answer in time");
    }

    protected override failed(failure: EngineFailure): void {
        this.settle(Left(failure));
    }

    private parseAnswer(): Either<EngineFailure, T> {
        const text = Buffer.concat(this.chunks).toString();
        if (this.status !== 200) {
            return Left(failureFromResponse(this.status, text));
        }
        const parsed = this.schema.safeParse(parseJson(text));
        return parsed.success ? Right(parsed.data) : Left(unknownOutcome("the engine's answer is invalid"));
    }
}
