import type { SchedulingRequest } from "../../protocol/index.js";
import type { ModelEngines } from "./modelEngineIndex.js";
import type { TrackedEngine } from "./trackedEngine.js";
import type { Assignment } from "./trackedPool.js";

/** Weight of one finished attempt in the moving average of slot times. */
const slotTimeWeight = 0.02;

/** The queued requests ahead of one request. */
export type QueuedAhead = {
    readonly requests: number;
    /** Prefill time in milliseconds. */
    readonly work: number;
};

/** Expected time in milliseconds of a request's own prefill and transfer. */
export type PhaseTimes = { readonly work: number; readonly transfer: number; };

/** Load of a model's engines: assigned prefill work in milliseconds, and free decode slots. */
export type ModelEnginesStatus = { readonly work: number; readonly freeSlots: number; };

/** Forecasts the time to a request's first token from the queue ahead of it and from how long attempts hold their slots. */
export class AdmissionForecast {
    /** Moving average of the time in milliseconds for which finished attempts held their slots. */
    private slotTime: number | undefined;

    static create(): AdmissionForecast {
        return new AdmissionForecast();
    }

    /** Updates the average slot time with a finished attempt. */
    recordEnd(assignment: Assignment, now: number): void {
        const held = now - assignment.assignedAt;
        this.slotTime = this.slotTime === undefined ? held : this.slotTime + slotTimeWeight * (held - this.slotTime);
    }

    /** The current load of a model's engines; computed once for all requests that are reviewed together. */
    status(modelEngines: ModelEngines, now: number): ModelEnginesStatus {
        return { work: pendingPrefillWork(modelEngines.prefill, now), freeSlots: freeSlots(modelEngines.decode) };
    }

    /** Expected time in milliseconds until the first token. */
    firstTokenIn(
        request: SchedulingRequest,
        modelEngines: ModelEngines,
        currentLoad: ModelEnginesStatus,
        ahead: QueuedAhead,
        times: PhaseTimes,
    ): number {
        const prefillWait = (ahead.work + currentLoad.work) / modelEngines.prefill.length;
        const slotsMissing = ahead.requests + 1 - currentLoad.freeSlots;
        const tokenTime = modelEngines.decode[0]!.tokenTime;
        const expectedSlotTime = this.slotTime ?? request.expectedTokens * tokenTime;
        const slotWait = Math.max(0, slotsMissing) * expectedSlotTime / modelEngines.slots;
        return Math.max(prefillWait + times.work, slotWait) + times.transfer + tokenTime;
    }
}

function pendingPrefillWork(engines: readonly TrackedEngine[], now: number): number {
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
