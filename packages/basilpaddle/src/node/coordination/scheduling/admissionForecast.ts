import type { SchedulingRequest } from "../../protocol/index.js";
import type { ModelEngines } from "./modelEngineIndex.js";
import type { TrackedEngine } from "./trackedEngine.js";
import type { Assignment } from "./trackedPool.js";

/** Weight of one finished attempt in the moving average of the time for which attempts use a decode slot. */
const slotTimeWeight = 0.02;

/** Number of queued requests that are served before a given request, and their total prefill time. */
export type QueuedAhead = {
    readonly requests: number;
    /** Total prefill time in milliseconds. */
    readonly prefillTime: number;
};

/** Expected time in milliseconds of a request's own prefill and transfer. */
export type PhaseTimes = { readonly prefillTime: number; readonly transferTime: number; };

/** Load of a model's engines: assigned prefill time in milliseconds that isn't done yet, and free decode slots. */
export type ModelEnginesLoad = { readonly pendingPrefillTime: number; readonly freeSlots: number; };

/** Forecasts the time to a request's first token, from the queue ahead of it and from how long attempts use their slots. */
export class AdmissionForecast {
    /**
     * Moving average of the time in milliseconds for which finished attempts used their slots; undefined until one
     * finished.
     */
    private slotTime: number | undefined;

    static create(): AdmissionForecast {
        return new AdmissionForecast();
    }

    /** Updates the average slot time with a finished attempt. */
    recordEnd(assignment: Assignment, now: number): void {
        const slotDuration = now - assignment.assignedAt;
        this.slotTime = this.slotTime === undefined
            ? slotDuration
            : this.slotTime + slotTimeWeight * (slotDuration - this.slotTime);
    }

    /** The current load of a model's engines; computed once for all requests that are reviewed together. */
    currentLoad(modelEngines: ModelEngines, now: number): ModelEnginesLoad {
        return {
            pendingPrefillTime: pendingPrefillTimeOf(modelEngines.prefill, now),
            freeSlots: freeSlots(modelEngines.decode),
        };
    }

    /** Expected time in milliseconds until the first token. */
    firstTokenDelay(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        currentLoad: ModelEnginesLoad,
        ahead: QueuedAhead,
        times: PhaseTimes,
    ): number {
        const prefillWait = (ahead.prefillTime + currentLoad.pendingPrefillTime) / modelEngines.prefill.length;
        const missingSlots = ahead.requests + 1 - currentLoad.freeSlots;
        const tokenTime = modelEngines.decode[0]!.tokenTime;
        const expectedSlotTime = this.slotTime ?? request.expectedTokens * tokenTime;
        const slotWait = Math.max(0, missingSlots) * expectedSlotTime / modelEngines.slots;
        return Math.max(prefillWait + times.prefillTime, slotWait) + times.transferTime + tokenTime;
    }
}

function pendingPrefillTimeOf(engines: readonly TrackedEngine[], now: number): number {
    let total = 0;
    for (const engine of engines) {
        total += engine.readyAt(now) - now;
    }
    return total;
}

function freeSlots(engines: readonly TrackedEngine[]): number {
    let total = 0;
    for (const engine of engines) {
        total += Math.max(0, engine.slots - engine.usedSlots);
    }
    return total;
}
