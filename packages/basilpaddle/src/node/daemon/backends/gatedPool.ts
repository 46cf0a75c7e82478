import { Client, type Dispatcher, Pool } from "undici";
import { ConnectionFailure } from "../../transport/index.js";

/** Number of the attempts sent last on a connection that are remembered. */
const rememberedAttempts = 32;

/** Code of a call of which nothing was sent since its sender prevented it at the last moment. */
export const sendPreventedCode = "SEND_PREVENTED";

/** Options of a request that decide whether it is sent after its wait for a connection. */
export type SendGate = {
    /** Asked just before its first byte is written to a connection; false prevents it. @default always */
    readonly maySend?: (() => boolean) | undefined;
    /** Ends the wait for a connection; has no effect from the first byte on. @default the wait goes on */
    readonly waitEnd?: AbortSignal | undefined;
    /** Identifier of the caller's attempt, which isn't sent twice on one connection. @default not checked */
    readonly attempt?: string | undefined;
};

/**
 * A connection pool that asks before it writes a request. A request waits for a connection between its dispatch and its first byte, and
 * the reason to send it may be gone by then. A request that is prevented fails with a `ConnectionFailure`; its connection stays open.
 */
export class GatedPool extends Pool {
    constructor(url: string, options: Pool.Options) {
        super(url, {
            ...options,
            factory: (origin, clientOptions: Client.Options) => new GatedClient(origin, clientOptions),
        });
    }

    override dispatch(options: Dispatcher.DispatchOptions & SendGate, handler: Dispatcher.DispatchHandler): boolean {
        const { maySend } = options;
        if (maySend !== undefined) {
            const connected = handler.onConnect?.bind(handler);
            let hasBegun = false;
            handler.onConnect = abort => {
                if (!hasBegun && !maySend()) {
                    throw ConnectionFailure.create(sendPreventedCode, "the sender prevented the request");
                }
                // What undici writes again after a failure may have been sent before.
                hasBegun = true;
                connected?.(abort);
            };
        }
        return super.dispatch(options, handler);
    }
}

/**
 * One connection of a pool. A server may send an answer twice, the second time when the answer to a later request is due. Its attempt tells
 * which request it belongs to, unless the same attempt is sent again: then the connection is closed, and the request prevented.
 */
class GatedClient extends Client {
    private readonly attempts = new Set<string>();

    constructor(url: string | URL, options: Client.Options) {
        super(url, options);
        this.on("disconnect", () => this.attempts.clear());
    }

    override dispatch(options: Dispatcher.DispatchOptions & SendGate, handler: Dispatcher.DispatchHandler): boolean {
        const { attempt } = options;
        if (attempt !== undefined) {
            const connected = handler.onConnect?.bind(handler);
            handler.onConnect = abort => {
                if (this.attempts.has(attempt)) {
                    abort(ConnectionFailure.create(sendPreventedCode, "the connection has had the same attempt"));
                    return;
                }
                connected?.(abort);
                this.remember(attempt);
            };
        }
        return super.dispatch(options, handler);
    }

    private remember(attempt: string): void {
        this.attempts.add(attempt);
        const [oldest] = this.attempts;
        if (this.attempts.size > rememberedAttempts && oldest !== undefined) {
            this.attempts.delete(oldest);
        }
    }
}
