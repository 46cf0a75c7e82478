import type { SendGate } from "./gatedPool.js";

/** The wait of one call for a connection, from its dispatch to its first byte. */
export class ConnectionWait {
    /** Aborts the call: whenever its caller does, and with the end of the wait until the first byte. */
    readonly signal: AbortSignal;
    private readonly prevention = new AbortController();
    private hasBegun = false;
    private readonly prevent = (): void => {
        if (!this.hasBegun) {
            this.prevention.abort();
        }
    };

    private constructor(private readonly gate: SendGate, signal: AbortSignal) {
        this.signal = gate.waitEnd === undefined ? signal : AbortSignal.any([signal, this.prevention.signal]);
        gate.waitEnd?.addEventListener("abort", this.prevent);
    }

    static create(call: SendGate & { readonly signal: AbortSignal; }): ConnectionWait {
        return new ConnectionWait(call, call.signal);
    }

    /** A connection is free; returns whether the call may be sent on it. */
    end(): boolean {
        this.hasBegun = this.gate.maySend?.() ?? true;
        return this.hasBegun;
    }

    /** Whether the wait was ended before the first byte. */
    wasEnded(): boolean {
        return this.prevention.signal.aborted;
    }

    /** Stops listening. */
    close(): void {
        this.gate.waitEnd?.removeEventListener("abort", this.prevent);
    }
}
