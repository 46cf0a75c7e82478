import { createMachine, initialTransition, transition } from "xstate";

/** States of one request. A retry returns to `admitted`; a final state is never left. */
const machine = createMachine({
    id: "request",
    initial: "received",
    states: {
        received: { on: { admit: "admitted", refuse: "refused", cancel: "cancelled" } },
        admitted: {
            on: { reserve: "reserving", replay: "finished", refuse: "refused", fail: "failed", cancel: "cancelled" },
        },
        reserving: { on: { assign: "reserved", refuse: "refused", fail: "failed", cancel: "cancelled" } },
        reserved: {
            on: { prefill: "prefilling", retry: "admitted", refuse: "refused", fail: "failed", cancel: "cancelled" },
        },
        prefilling: {
            on: {
                transfer: "transferring",
                retry: "admitted",
                refuse: "refused",
                fail: "failed",
                cancel: "cancelling",
            },
        },
        transferring: { on: { decode: "decoding", retry: "admitted", fail: "failed", cancel: "cancelling" } },
        decoding: {
            on: { lose: "resuming", end: "finishing", retry: "admitted", fail: "failed", cancel: "cancelling" },
        },
        resuming: { on: { decode: "decoding", retry: "admitted", fail: "failed", cancel: "cancelling" } },
        finishing: { on: { finish: "finished", cancel: "cancelling" } },
        cancelling: { on: { release: "cancelled" } },
        finished: { type: "final" },
        refused: { type: "final" },
        failed: { type: "final" },
        cancelled: { type: "final" },
    },
});

/** State of a request. */
export type RequestState =
    | "received"
    | "admitted"
    | "reserving"
    | "reserved"
    | "prefilling"
    | "transferring"
    | "decoding"
    | "resuming"
    | "finishing"
    | "cancelling"
    | "finished"
    | "refused"
    | "failed"
    | "cancelled";

/** Event that changes the state of a request. */
export type RequestEvent =
    | "admit"
    | "replay"
    | "reserve"
    | "assign"
    | "prefill"
    | "transfer"
    | "decode"
    | "lose"
    | "retry"
    | "end"
    | "finish"
    | "refuse"
    | "fail"
    | "cancel"
    | "release";

/** Computed transitions. The machine has no context, so a transition depends only on state and event. */
const transitionCache = new Map<string, RequestState | undefined>();

/** The state after the event; undefined if the event isn't allowed in that state. */
export function nextState(state: RequestState, event: RequestEvent): RequestState | undefined {
    const key = `${state} ${event}`;
    if (!transitionCache.has(key)) {
        const [next] = transition(machine, machine.resolveState({ value: state }), { type: event });
        transitionCache.set(key, next.value === state ? undefined : next.value as RequestState);
    }
    return transitionCache.get(key);
}

/** Tracks the state of one request. */
export class Lifecycle {
    private current = initialTransition(machine)[0].value as RequestState;

    static create(): Lifecycle {
        return new Lifecycle();
    }

    state(): RequestState {
        return this.current;
    }

    /** Whether the event is allowed in the current state. */
    can(event: RequestEvent): boolean {
        return nextState(this.current, event) !== undefined;
    }

    /** Applies the event. Throws if it isn't allowed in the current state: that is a bug, and the request must not continue. */
    send(event: RequestEvent): void {
        const next = nextState(this.current, event);
        if (next === undefined) {
            throw new Error(`request lifecycle: event ${event} is not allowed in state ${this.current}`);
        }
        this.current = next;
    }
}
