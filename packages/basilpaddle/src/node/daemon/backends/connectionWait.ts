import type { SendGate } from "./gatedPool.js";

/** The wait of one call for a connection, from its dispatch to its first byte. */
export class ConnectionWait {
    private readonly controller = new AbortController();
    private hasBegun = false;
    private isPrevented = false;
    private readonly abort = (): void => this.controller.abort();
    private readonly prevent = (): void => {
        if (!this.hasBegun) {
            this.isPrevented = true;
            this.abort();
        }
    };

    private constructor(private readonly call: SendGate & { readonly signal: AbortSignal; }) {
        call.signal.addEventListener("abort", this.abort);
        call.waitEnd?.addEventListener("abort", this.prevent);
        if (call.signal.aborted) {
            this.abort();
        }
    }

    static create(call: SendGate & { readonly signal: AbortSignal; }): ConnectionWait {
        return new ConnectionWait(call);
    }

    /** Aborts the call: whenever its caller does, and with the end of the wait until the first byte. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Whether the call may be sent on the connection that is free now; if so, the wait is over. */
    maySend(): boolean {
        this.hasBegun = this.call.maySend?.() ?? true;
        return this.hasBegun;
    }

    /** Whether the wait was ended from outside before the first byte. */
    wasPrevented(): boolean {
        return this.isPrevented;
    }

    /** Stops listening; to be called once the call has failed, or the body of its answer has closed. */
    close(): void {
        this.call.signal.removeEventListener("abort", this.abort);
        this.call.waitEnd?.removeEventListener("abort", this.prevent);
    }
}
