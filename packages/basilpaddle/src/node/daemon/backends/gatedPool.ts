import { type Dispatcher, Pool } from "undici";
import { ConnectionFailure } from "../../transport/index.js";

/** Code of a call of which nothing was sent since its sender prevented it at the last moment. */
export const sendPreventedCode = "SEND_PREVENTED";

/** Options of a request that decide whether it is sent after its wait for a connection. */
export type SendGate = {
    /** Asked just before its first byte is written to a connection; false prevents it. @default always */
    readonly maySend?: (() => boolean) | undefined;
    /** Ends the wait for a connection; has no effect from the first byte on. @default the wait goes on */
    readonly waitEnd?: AbortSignal | undefined;
};

/**
 * A connection pool that asks before it writes a request. A request waits for a connection between its dispatch and its first byte, and
 * the reason to send it may be gone by then. A request that is prevented fails with a `ConnectionFailure`; its connection stays open.
 */
export class GatedPool extends Pool {
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
