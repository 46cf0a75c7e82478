import type {
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import { engineModel } from "./deployments.js";
import { Policy, type PolicyContext } from "./policy.js";

function assigned(demand: SchedulingRequest, prefill: string, decode: string): SchedulingDecision {
    return { kind: "assigned", attempt: demand.attempt, prefill, decode, fence: 0, expectedReuse: 0 };
}

function refused(demand: SchedulingRequest): SchedulingDecision {
    const refusal = { code: "poolFull", outcome: "notRun", message: "no engine took it", retryAfter: 500 } as const;
    return { kind: "refused", attempt: demand.attempt, refusal };
}

/** Any engine that the view calls ready. */
export class RandomPolicy extends Policy {
    constructor(protected readonly context: PolicyContext) {
        super();
    }

    override reserve(_entry: number, demand: SchedulingRequest, decided: (decision: SchedulingDecision) => void): void {
        decided(assigned(demand, this.draw("prefill", demand.avoid), this.draw("decode", demand.avoid)));
    }

    override withdraw(...ignored: [number, string]): void {
        void ignored;
    }

    override progress(...ignored: [number, Progress]): void {
        void ignored;
    }

    override load(...ignored: [LoadReport]): void {
        void ignored;
    }

    override viewChanged(): void {}

    protected draw(role: "prefill" | "decode", avoid: readonly string[]): string {
        const { cluster } = this.context;
        const fitting = cluster.view().filter(({ announcement, state }) =>
            announcement.role === role && state === "ready" && !avoid.includes(announcement.id)
        );
        return fitting[cluster.randomness.integer(0, fitting.length - 1)]!.announcement.id;
    }
}

/** Engines decide: a decode engine drawn at random is asked to keep a slot before the prefill starts, and up to two others after it. */
export class EngineSidePolicy extends RandomPolicy {
    private static readonly asked = 3;
    /** Prompt tokens that may wait at a prefill engine before it refuses. */
    private static readonly mostQueued = 12_000;

    override reserve(_entry: number, demand: SchedulingRequest, decided: (decision: SchedulingDecision) => void): void {
        this.ask(demand, EngineSidePolicy.asked, decided);
    }

    override withdraw(_entry: number, attempt: string): void {
        this.free(attempt);
    }

    override progress(_entry: number, progress: Progress): void {
        if (progress.stage === "failed" || progress.stage === "cancelled") {
            this.free(progress.attempt);
        }
    }

    private ask(demand: SchedulingRequest, left: number, decided: (decision: SchedulingDecision) => void): void {
        const { cluster } = this.context;
        const prefill = cluster.prefill(this.draw("prefill", demand.avoid));
        const decode = cluster.decode(this.draw("decode", demand.avoid));
        cluster.simulation.after(3, () => {
            if (prefill.queuedTokens < EngineSidePolicy.mostQueued && decode.hold(demand.attempt)) {
                decided(assigned(demand, prefill.id, decode.id));
            }
            else if (left > 1) {
                this.ask(demand, left - 1, decided);
            }
            else {
                decided(refused(demand));
            }
        });
    }

    private free(attempt: string): void {
        for (const decode of this.context.cluster.decodes) {
            if (decode.slots.has(attempt)) {
                decode.free(attempt);
            }
        }
    }
}

/** Bytes of a prompt's KV cache. */
export function cacheBytes(promptTokens: number): number {
    return promptTokens * engineModel.kvBytesPerToken;
}
