import { createActor, setup } from "xstate";

type LifecycleEvent = { readonly type: "started"; } | { readonly type: "failed"; } | { readonly type: "stop"; } | {
    readonly type: "stopped";
};

const machine = setup({ types: { events: {} as LifecycleEvent } }).createMachine({
    initial: "starting",
    states: {
        starting: { on: { started: "serving", failed: "failed", stop: "stopping" } },
        serving: { on: { failed: "failed", stop: "stopping" } },
        // The daemon no longer votes or answers, but its resources still have to be released.
        failed: { on: { stop: "stopping" } },
        stopping: { on: { stopped: "stopped" } },
        stopped: { type: "final" },
    },
});

/** States in the lifecycle of a control daemon. */
export type LifecycleState = "starting" | "serving" | "failed" | "stopping" | "stopped";

/** The lifecycle of a control daemon. An event without a transition from the current state is ignored. */
export class Lifecycle {
    private readonly actor = createActor(machine).start();

    static create(): Lifecycle {
        return new Lifecycle();
    }

    /** The current state. */
    state(): LifecycleState {
        return this.actor.getSnapshot().value;
    }

    /** Sends an event; returns whether it changed the state. */
    send(type: LifecycleEvent["type"]): boolean {
        const previousState = this.state();
        this.actor.send({ type });
        return this.state() !== previousState;
    }
}
