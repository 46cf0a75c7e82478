import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import {
    cancelAnswerSchema,
    type DecodeLine,
    enginePath,
    type EngineState,
    engineStateSchema,
    type Generation,
    importAnswerSchema,
    type LoadReport,
    loadReportSchema,
    type Order,
    type OrderAnswer,
    orderAnswerSchema,
    type PrefillAnswer,
    prefillAnswerSchema,
} from "../../protocol/index.js";
import { guardedConnector } from "../../transport/index.js";
import { type Clock, SystemClock } from "../../utils/index.js";
import { DecodeCall } from "./decodeCall.js";
import { Engine, type EngineFailure } from "./engine.js";
import { type EngineLimits, resolveEngineLimits } from "./engineLimits.js";
import { JsonCall } from "./jsonCall.js";

const jsonHeaders = { "content-type": "application/json" };

/**
 * Client of an engine that implements the protocol of docs/wire-engines.md. It never sends a request twice.
 *
 * A request sent on a keep-alive connection that the engine is closing at that moment fails after its first byte, so its
 * outcome is unknown although it never ran. Therefore a connection carries one request at a time and is closed on this side
 * after being idle for `keepAlive`, well before the five seconds for which the protocol requires the engine to keep it open.
 */
export class HttpEngine extends Engine {
    private constructor(
        private readonly pool: Pool,
        private readonly basePath: string,
        private readonly clock: Clock,
        private readonly limits: EngineLimits,
    ) {
        super();
    }

    /** Creates a client for the URL that the engine announced. Connects on first use. */
    static create(url: string, limits: Partial<EngineLimits> = {}, clock: Clock = SystemClock.create()): HttpEngine {
        const resolvedLimits = resolveEngineLimits(limits);
        const { origin, pathname } = new URL(url);
        return new HttpEngine(createPool(origin, resolvedLimits), pathname.replace(/\/$/, ""), clock, resolvedLimits);
    }

    override prefill(
        attempt: string,
        generation: Generation,
        signal: AbortSignal,
    ): Promise<Either<EngineFailure, PrefillAnswer>> {
        const body = { attempt, generation };
        return this.post(enginePath.prefill, body, prefillAnswerSchema, this.limits.prefill, signal);
    }

    override import(
        attempt: string,
        source: { readonly url: string; readonly handle: string; },
        generation: Generation,
        signal: AbortSignal,
    ): Promise<Either<EngineFailure, { readonly bytes: number; }>> {
        const body = { attempt, source, generation };
        return this.post(enginePath.import, body, importAnswerSchema, this.limits.import, signal);
    }

    override async *decode(
        attempt: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<Either<EngineFailure, DecodeLine>> {
        for await (const batch of this.decodeBatches(attempt, offset, signal)) {
            yield* batch.caseOf<Either<EngineFailure, DecodeLine>[]>({
                Left: failure => [Left(failure)],
                Right: lines => lines.map(line => Right(line)),
            });
        }
    }

    override async *decodeBatches(
        attempt: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<Either<EngineFailure, readonly DecodeLine[]>> {
        const stream = DecodeCall.create(this.clock, this.limits);
        stream.dispatch(this.pool, this.requestOptions("POST", enginePath.decode, { attempt, offset }), signal);
        yield* stream.batches();
    }

    override cancel(
        attempt: string,
        timeout: number,
    ): Promise<Either<EngineFailure, { readonly released: boolean; }>> {
        return this.post(enginePath.cancel, { attempt }, cancelAnswerSchema, timeout);
    }

    override load(timeout: number): Promise<Either<EngineFailure, LoadReport>> {
        return this.get(enginePath.load, loadReportSchema, timeout);
    }

    override state(timeout: number): Promise<Either<EngineFailure, EngineState>> {
        return this.get(enginePath.state, engineStateSchema, timeout);
    }

    override order(
        orderId: string,
        fence: number,
        order: Order,
        timeout: number,
    ): Promise<Either<EngineFailure, OrderAnswer>> {
        return this.post(enginePath.order, { orderId, fence, order }, orderAnswerSchema, timeout);
    }

    /** Closes the connections. Calls in progress fail as `notRun` or `unknown`. */
    override async close(): Promise<void> {
        await this.pool.destroy();
    }

    private post<T>(
        path: string,
        body: unknown,
        schema: z.ZodType<T>,
        timeout: number,
        signal?: AbortSignal,
    ): Promise<Either<EngineFailure, T>> {
        const options = this.requestOptions("POST", path, body);
        return JsonCall.send(this.pool, options, schema, this.clock, this.limits, timeout, signal);
    }

    private get<T>(path: string, schema: z.ZodType<T>, timeout: number): Promise<Either<EngineFailure, T>> {
        return JsonCall.send(this.pool, this.requestOptions("GET", path), schema, this.clock, this.limits, timeout);
    }

    private requestOptions(method: "GET" | "POST", path: string, body?: unknown): Dispatcher.DispatchOptions {
        const fullPath = this.basePath + path;
        return body === undefined
            ? { method, path: fullPath }
            : { method, path: fullPath, body: JSON.stringify(body), headers: jsonHeaders };
    }
}

function createPool(origin: string, limits: EngineLimits): Pool {
    return new Pool(origin, {
        // A request pipelined behind another one would be lost with it if the connection breaks.
        pipelining: 1,
        keepAliveTimeout: limits.keepAlive,
        // The engine's keep-alive hint may shorten this, but not extend it.
        keepAliveMaxTimeout: limits.keepAlive,
        keepAliveTimeoutThreshold: limits.keepAlive,
        // By default, undici ends a prefill or an idle stream after five minutes; EngineLimits apply instead.
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: limits.headBytes,
        connect: guardedConnector(limits.connect, limits),
    });
}
