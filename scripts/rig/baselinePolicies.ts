import type {
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import { engineModel } from "./deployments.js";
import { Policy, type PolicyContext } from "./policy.js";

function createAssignment(request: SchedulingRequest, prefill: string, decode: string): SchedulingDecision {
    return { kind: "assigned", attempt: request.attempt, prefill, decode, fence: 0, expectedReuse: 0 };
}

function createRefusal(request: SchedulingRequest): SchedulingDecision {
    const refusal = {
        code: "poolFull",
        outcome: "notRun",
        message: "no engine accepted the request",
        retryAfter: 500,
    } as const;
    return { kind: "refused", attempt: request.attempt, refusal };
}

/** Assigns random engines that are ready in the view. */
export class RandomPolicy extends Policy {
    constructor(protected readonly context: PolicyContext) {
        super();
    }

    override reserve(
        _entry: number,
        request: SchedulingRequest,
        onDecision: (decision: SchedulingDecision) => void,
    ): void {
        onDecision(
            createAssignment(
                request,
                this.pickEngine("prefill", request.avoid),
                this.pickEngine("decode", request.avoid),
            ),
        );
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

    protected pickEngine(role: "prefill" | "decode", avoid: readonly string[]): string {
        const { cluster } = this.context;
        const candidates = cluster.view().filter(({ announcement, state }) =>
            announcement.role === role && state === "ready" && !avoid.includes(announcement.id)
        );
        return candidates[cluster.randomness.integer(0, candidates.length - 1)]!.announcement.id;
    }
}

/**
 * Engines decide on admission: before the prefill starts, a random pair of engines is asked to accept the request. After a rejection up
 * to two more pairs are tried.
 */
export class EngineSidePolicy extends RandomPolicy {
    private static readonly maxTries = 3;
    /** Queued prompt tokens from which a prefill engine rejects requests. */
    private static readonly maxQueuedTokens = 12_000;

    override reserve(
        _entry: number,
        request: SchedulingRequest,
        onDecision: (decision: SchedulingDecision) => void,
    ): void {
        this.tryEngines(request, EngineSidePolicy.maxTries, onDecision);
    }

    override withdraw(_entry: number, attempt: string): void {
        this.free(attempt);
    }

    override progress(_entry: number, progress: Progress): void {
        if (progress.stage === "failed" || progress.stage === "cancelled") {
            this.free(progress.attempt);
        }
    }

    private tryEngines(
        request: SchedulingRequest,
        remainingTries: number,
        onDecision: (decision: SchedulingDecision) => void,
    ): void {
        const { cluster } = this.context;
        const prefill = cluster.prefill(this.pickEngine("prefill", request.avoid));
        const decode = cluster.decode(this.pickEngine("decode", request.avoid));
        cluster.simulation.after(3, () => {
            if (prefill.queuedTokens < EngineSidePolicy.maxQueuedTokens && decode.allocate(request.attempt)) {
                onDecision(createAssignment(request, prefill.id, decode.id));
            }
            else if (remainingTries > 1) {
                this.tryEngines(request, remainingTries - 1, onDecision);
            }
            else {
                onDecision(createRefusal(request));
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

/** Computes the size of a prompt's KV cache in bytes. */
export function cacheBytes(promptTokens: number): number {
    return promptTokens * engineModel.kvBytesPerToken;
}
