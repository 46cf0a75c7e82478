import { PoolScheduler } from "../../packages/basilpaddle/src/node/coordination/scheduling/poolScheduler.js";
import type {
    EngineEntry,
    SchedulerEvent,
} from "../../packages/basilpaddle/src/node/coordination/scheduling/scheduler.js";
import {
    poolSchema,
    type SchedulingDecision,
    type SchedulingRequest,
} from "../../packages/basilpaddle/src/node/protocol/index.js";

const pool = poolSchema.parse({ models: [{ name: "draft", version: "v1" }], copies: { prefill: 1, decode: 1 } });
const organisation = { share: 1, openRequests: 100 };

/** A scheduler of one pool with a simulated clock, which records the decisions. */
export class SchedulerBench {
    readonly scheduler: PoolScheduler;
    readonly decisions = new Map<string, SchedulingDecision>();
    now = 0;

    constructor(engines: readonly EngineEntry[], weighting: "goodput" | "prefill" = "goodput", warm = true) {
        this.scheduler = PoolScheduler.create({ fence: 5, warm });
        const rules = { pool: { ...pool, weighting }, organisations: {}, anyOrganisation: organisation };
        this.step({ kind: "rules", rules });
        this.step({ kind: "engines", engines });
    }

    step(event: SchedulerEvent): void {
        for (const decision of this.scheduler.step(event, this.now)) {
            this.decisions.set(decision.attempt, decision);
        }
    }

    submit(request: SchedulingRequest): void {
        this.step({ kind: "demand", demand: request });
    }

    advance(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now = Math.min(end, this.now + 20);
            this.step({ kind: "tick" });
        }
    }

    outcome(attempt: string): string {
        const decision = this.decisions.get(attempt);
        if (decision === undefined) {
            return "waits";
        }
        return decision.kind === "assigned" ? `${decision.prefill}>${decision.decode}` : decision.refusal.code;
    }

    stages(attempt: string, ...stages: ("prefilled" | "transferred" | "firstToken" | "finished" | "failed")[]): void {
        for (const stage of stages) {
            this.step({ kind: "progress", progress: { attempt, stage, tokens: 0 } });
        }
    }
}
