import type { Either } from "purify-ts";
import type {
    DecodeLine,
    EngineState,
    Generation,
    LoadReport,
    Order,
    OrderAnswer,
    PrefillAnswer,
} from "../../protocol/index.js";

/** Why a call to an engine failed. */
export type EngineFailure = {
    /**
     * `notRun`: nothing was sent, or the engine provably refused the call; nothing is allocated to the attempt there.
     * `failed`: the engine executed the call and reported that it failed.
     * `unknown`: the connection broke or the call timed out; the call may have been executed, and memory may still be allocated.
     */
    readonly kind: "notRun" | "failed" | "unknown";
    /** Code of the engine's refusal, if it sent one. */
    readonly code: string | undefined;
    readonly message: string;
};

/** Client of an engine. Each engine protocol is implemented by a subclass in its own file. */
export abstract class Engine {
    /** Computes the prompt and retains its KV cache for export under the handle in the answer. */
    abstract prefill(
        attempt: string,
        generation: Generation,
        signal: AbortSignal,
    ): Promise<Either<EngineFailure, PrefillAnswer>>;

    /** Allocates a decode slot to the attempt, and makes the engine fetch the KV cache from the prefill engine. */
    abstract import(
        attempt: string,
        source: { readonly url: string; readonly handle: string; },
        generation: Generation,
        signal: AbortSignal,
    ): Promise<Either<EngineFailure, { readonly bytes: number; }>>;

    /**
     * Streams the answer from the offset to a line of kind `end`. If the stream ends without one, a failure is yielded
     * last.
     */
    abstract decode(
        attempt: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<Either<EngineFailure, DecodeLine>>;

    /**
     * The same stream in batches of at least one line: all lines that arrived in one chunk of the answer. Use this one to
     * serve requests: it costs one promise per chunk instead of one per token. A failure is yielded last.
     */
    async *decodeBatches(
        attempt: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<Either<EngineFailure, readonly DecodeLine[]>> {
        for await (const line of this.decode(attempt, offset, signal)) {
            yield line.map(value => [value]);
        }
    }

    /** Cancels the attempt and releases everything allocated to it. Certain only after the engine has confirmed it. */
    abstract cancel(attempt: string, timeout: number): Promise<Either<EngineFailure, { readonly released: boolean; }>>;

    /** Fetches the engine's load report. */
    abstract load(timeout: number): Promise<Either<EngineFailure, LoadReport>>;

    /** Fetches the engine's state. */
    abstract state(timeout: number): Promise<Either<EngineFailure, EngineState>>;

    /** Sends an order with a fencing token. */
    abstract order(
        orderId: string,
        fence: number,
        order: Order,
        timeout: number,
    ): Promise<Either<EngineFailure, OrderAnswer>>;

    /** Closes the connections. */
    abstract close(): Promise<void>;
}
