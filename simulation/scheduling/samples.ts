import type { EngineEntry } from "../../packages/basilpaddle/src/node/coordination/scheduling/scheduler.js";
import {
    announcementSchema,
    type SchedulingRequest,
    schedulingRequestSchema,
} from "../../packages/basilpaddle/src/node/protocol/index.js";

/** An engine that is ready and serves the model `draft`. */
export function engine(
    id: string,
    role: "prefill" | "decode",
    overrides: { readonly slots?: number; readonly incarnation?: number; readonly failureDomain?: string; } = {},
): EngineEntry {
    const announcement = announcementSchema.parse({
        id,
        incarnation: 1,
        url: `http://127.0.0.1:1/${id}`,
        failureDomain: "hall-a",
        role,
        pool: "drafts",
        models: [{ name: "draft", version: "v1" }],
        slots: 2,
        ...overrides,
    });
    return { announcement, state: "ready" };
}

/** A scheduling request of 1000 prompt tokens and 100 expected output tokens with generous targets. */
export function schedulingRequest(attempt: string, overrides: Partial<SchedulingRequest> = {}): SchedulingRequest {
    return schedulingRequestSchema.parse({
        attempt,
        owner: { daemon: "entry-1", incarnation: "i1" },
        pool: "drafts",
        model: "draft",
        organisation: "desk",
        failureDomain: "hall-a",
        promptTokens: 1_000,
        maxTokens: 200,
        expectedTokens: 100,
        prefixes: [],
        blockTokens: 256,
        priority: 100,
        firstTokenWithin: 2_000,
        deadlineWithin: 60_000,
        ...overrides,
    });
}
