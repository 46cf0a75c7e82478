import type { PlacementDecision, PlacementRequest } from "../../protocol/index.js";

/** Retry-after time of requests that are refused because no engine is ready. */
const noEngineRetryAfterMilliseconds = 1_000;
/** Retry-after time of a request whose software version no engine has any more: it won't come back within a caller's patience. */
const versionGoneRetryAfterMilliseconds = 10_000;

/** Refuses a request because no engine of its pool is ready. */
export function noEngineRefusal({ attempt }: PlacementRequest): PlacementDecision {
    return { kind: "refused", attempt, reason: "no engine is ready", comeBackIn: noEngineRetryAfterMilliseconds };
}

/** Refuses a request because its first event would come after its caller's timeout. */
export function tooLateRefusal(
    { attempt }: PlacementRequest,
    firstEventIn: number,
    comeBackIn: number,
): PlacementDecision {
    const reason = `the first event would come in ${Math.round(firstEventIn)} ms, after its caller's timeout`;
    return { kind: "refused", attempt, reason, comeBackIn };
}

/** Refuses a request that can't be served before its caller leaves, because those of a higher priority are ahead of it. */
export function displacedRefusal(
    { attempt }: PlacementRequest,
    priority: number,
    comeBackIn: number,
): PlacementDecision {
    return { kind: "refused", attempt, reason: `gave way to rank ${priority}`, comeBackIn };
}

/** Refuses a request that can't be served before its caller leaves, whatever its priority. */
export function noRoomRefusal({ attempt }: PlacementRequest, comeBackIn: number): PlacementDecision {
    return { kind: "refused", attempt, reason: "no room in time", comeBackIn };
}

/** Refuses a request that only engines of one software version may run, since none of that version is left. */
export function versionGoneRefusal({ attempt, version = "" }: PlacementRequest): PlacementDecision {
    const reason = `no engine of version ${version} is left`;
    return { kind: "refused", attempt, reason, comeBackIn: versionGoneRetryAfterMilliseconds, versionGone: true };
}
