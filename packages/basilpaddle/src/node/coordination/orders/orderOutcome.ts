import type { EngineState, Order } from "../../protocol/index.js";
import type { ObservedEngine, OpenOrder, OrderOutcome } from "./orderState.js";

/**
 * The outcome of an open order as proven by a reading of its engine; undefined if the reading doesn't prove one yet.
 *
 * If the answer was lost, the outcome is derived from the engine's state. If the order were sent again instead, an engine that
 * doesn't deduplicate by order identifier would load a model twice or abort running requests a second time.
 */
export function outcomeFromReading(open: OpenOrder, engine: ObservedEngine | undefined): OrderOutcome | undefined {
    if (engine === undefined || engine.announcement.incarnation !== open.incarnation) {
        return "unknown";
    }
    if (open.phase === "sent" || engine.reading === undefined || engine.reading.askedAt < open.readableAt) {
        return undefined;
    }
    return orderEffect(open.order, engine.reading.state);
}

function orderEffect(order: Order, state: EngineState): OrderOutcome | undefined {
    if (order.action === "changeRole") {
        return state.role === order.role ? "done" : "failed";
    }
    const model = state.models.find(({ name, version }) => name === order.model && version === order.version);
    if (order.action === "unload") {
        return model === undefined ? "done" : model.phase === "unloading" ? undefined : "failed";
    }
    if (model?.phase === "loading") {
        return undefined;
    }
    const missing = order.adapters.filter(adapter => !model?.adapters.includes(adapter));
    if (model?.phase !== "warm" || missing.some(adapter => !model.loadingAdapters.includes(adapter))) {
        return "failed";
    }
    return missing.length === 0 ? "done" : undefined;
}
