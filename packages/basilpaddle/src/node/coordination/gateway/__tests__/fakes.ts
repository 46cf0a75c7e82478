import type {
    EngineRule,
    PlacementDecision,
    PlacementRequest,
    ServerAnnouncement,
    Traffic,
    TrafficRoute,
} from "../../../protocol/index.js";
import type { PlacementQueue } from "../placementQueue.js";

/** A backend server's announcement, with defaults for the fields that a test doesn't set. */
export function announced(overrides: Partial<ServerAnnouncement> & { readonly id: string; }): ServerAnnouncement {
    return {
        service: "pool",
        address: "10.0.0.1:80",
        failureDomain: "a",
        slots: 96,
        state: "ready",
        sequence: 1,
        ...overrides,
    };
}

/** Announcements of one pool's engines, with the given number for each stage. */
export function engines(prefill: number, decode: number): ServerAnnouncement[] {
    const enginesOfStage = (stage: "prefill" | "decode", count: number): ServerAnnouncement[] => {
        return Array.from({ length: count }, (_, number) => {
            const address = `10.0.0.${number}:${stage === "prefill" ? 80 : 81}`;
            return announced({ id: `${stage}-${number}`, address, stage, failureDomain: ["a", "b", "c"][number % 3]! });
        });
    };
    return [...enginesOfStage("prefill", prefill), ...enginesOfStage("decode", decode)];
}

/** Announcements of engines of one software version, with the given number for each stage. */
export function enginesOfVersion(softwareVersion: string, prefill: number, decode: number): ServerAnnouncement[] {
    return engines(prefill, decode).map(engine => ({
        ...engine,
        id: `${softwareVersion}-${engine.id}`,
        softwareVersion,
    }));
}

/** The rule of the test pool's engines. */
export const rule: EngineRule = { slots: 96, cacheTokens: 34_000, handleLife: 500, stageSwitch: 6_000 };

/** A configuration with only that pool. */
export const poolTraffic: Traffic = {
    version: 1,
    routes: [],
    services: [{ name: "pool", healthPath: "/health", connectionLimit: 50, engine: rule }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
};

/** A typical placement request: 3,200 prompt tokens, 900 tokens of answer, first event due within 900 ms. */
export function typicalPlacementRequest(attempt: string, overrides: Partial<PlacementRequest> = {}): PlacementRequest {
    return {
        attempt,
        gateway: "gateway",
        service: "pool",
        failureDomain: "a",
        promptTokens: 3_200,
        cacheTokens: 4_100,
        priority: 1,
        targetWithin: 900,
        patienceWithin: 3_600,
        avoid: [],
        resumed: false,
        ...overrides,
    };
}

/** Attempts that the decisions place. */
export function placed(decisions: readonly PlacementDecision[]): string[] {
    return decisions.filter(decision => decision.kind === "placed").map(decision => decision.attempt);
}

/** Attempts that the decisions refuse. */
export function refused(decisions: readonly PlacementDecision[]): string[] {
    return decisions.filter(decision => decision.kind === "refused").map(decision => decision.attempt);
}

/** A route, with defaults for the fields that a test doesn't set. */
export function route(overrides: Partial<TrafficRoute>): TrafficRoute {
    return {
        name: "r",
        host: "h.example",
        pathPrefix: "/",
        kind: "safe",
        timeout: 1_000,
        target: 100,
        priority: 1,
        targets: [{ service: "s", weight: 1 }],
        attempts: 1,
        prompts: false,
        resumable: false,
        public: false,
        ...overrides,
    };
}

/** Gives a queue one decode engine with room for eight typical requests, all of which it runs. */
export function fillOnlyEngine(queue: PlacementQueue): PlacementQueue {
    queue.setEngines(engines(1, 1), rule);
    for (let number = 0; number < 8; number++) {
        queue.enqueueRequest(typicalPlacementRequest(`held-${number}`), 0);
        queue.prefillCompleted(`held-${number}`, 0);
    }
    return queue;
}
