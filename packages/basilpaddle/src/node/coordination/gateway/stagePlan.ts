import { type EngineRule, type ServerAnnouncement, softwareVersionOf } from "../../protocol/index.js";

/** Resources that a typical request uses in a pool; a plan depends only on their proportions. */
export type TypicalRequest = {
    /** Milliseconds of prefill work for its prompt. */
    readonly prefillTime: number;
    /** Milliseconds for which its run's KV cache is allocated at a decode engine. */
    readonly allocationTime: number;
    /** Tokens of KV cache that its run occupies. */
    readonly cacheTokens: number;
};

/** Assumed until a pool has observed requests of its own: prompts of 3,200 tokens and answers of 940. */
export const assumedRequest: TypicalRequest = { prefillTime: 100, allocationTime: 3_200, cacheTokens: 3_670 };

/**
 * Number of prefill engines above or below the computed one before an engine changes its stage: a change makes the engine
 * unavailable for seconds, and the averages drift during a burst. The limit for converting a decode engine is higher, since
 * runs occupy decode engines for seconds, while prompts queue for a shorter time.
 */
const maxPrefillSurplus = 0.6;
const maxPrefillDeficit = 1.5;

/** Number of engines of one version, beside others, from which on one of them runs prefill alone: resumed streams need two for decode. */
const minMixedGroup = 3;

/** An engine that should change its stage, and the new stage. */
export type StageChange = { readonly engine: ServerAnnouncement; readonly stage: "prefill" | "decode"; };

/**
 * Returns the engines that should change their stage next: few enough that at least one engine of each stage remains while
 * they change. Prefill engines stay spread over the failure domains, since KV cache transfers between domains cost more. Engines of
 * each software version are planned by themselves, since no version decodes what another one has read.
 */
export function planStages(
    engines: readonly ServerAnnouncement[],
    rule: EngineRule,
    observed?: TypicalRequest,
): StageChange[] {
    const ready = engines.filter(engine => engine.state === "ready" && engine.stage !== undefined);
    const byVersion = new Map<string, ServerAnnouncement[]>();
    for (const engine of ready) {
        const version = softwareVersionOf(engine);
        byVersion.set(version, [...byVersion.get(version) ?? [], engine]);
    }
    const isMixed = byVersion.size > 1;
    return [...byVersion.values()].flatMap(group => planVersion(group, isMixed, rule, observed));
}

/** Plans the engines of one version. `isMixed`: whether the pool has engines of other versions too. */
function planVersion(
    ready: readonly ServerAnnouncement[],
    isMixed: boolean,
    rule: EngineRule,
    observed: TypicalRequest | undefined,
): StageChange[] {
    const prefill = ready.filter(engine => engine.stage === "prefill");
    const decode = ready.filter(engine => engine.stage === "decode");
    if (isMixed && decode.length === 0) {
        // Without a decode engine no stream that began at this version can be resumed.
        return selectFromLargestDomains(prefill, 1).map(engine => ({ engine, stage: "decode" }));
    }
    if (ready.length < (isMixed ? minMixedGroup : 2)) {
        return [];
    }
    const exactPrefillCount = ready.length * prefillFraction(rule, observed ?? assumedRequest);
    const plannedPrefillCount = Math.min(ready.length - 1, Math.max(1, Math.round(exactPrefillCount)));
    const tooMany = prefill.length > plannedPrefillCount
        && (observed === undefined || prefill.length - exactPrefillCount > maxPrefillSurplus);
    if (tooMany) {
        return selectFromLargestDomains(prefill, prefill.length - plannedPrefillCount).map(engine => ({
            engine,
            stage: "decode",
        }));
    }
    const tooFew = observed !== undefined && exactPrefillCount - prefill.length > maxPrefillDeficit;
    if (tooFew || prefill.length === 0) {
        const missing = tooFew ? plannedPrefillCount - prefill.length : 1;
        const available = Math.max(0, decode.length - 1);
        return selectFromLargestDomains(decode, Math.min(missing, available)).map(engine => ({
            engine,
            stage: "prefill",
        }));
    }
    return [];
}

/**
 * Fraction of the pool's engines that should run prefill, so that neither stage is full while the other has capacity. It
 * compares the engine time that each stage uses for a typical request.
 */
function prefillFraction(rule: EngineRule, request: TypicalRequest): number {
    const allocatedFraction = Math.max(request.cacheTokens / rule.cacheTokens, 1 / rule.slots);
    return request.prefillTime / (request.prefillTime + request.allocationTime * allocatedFraction);
}

/**
 * Selects engines one by one from the failure domain that has the most of them; the lowest identifier first, so that the
 * result is deterministic.
 */
function selectFromLargestDomains(engines: readonly ServerAnnouncement[], count: number): ServerAnnouncement[] {
    const remaining = [...engines].sort((one, other) => one.id < other.id ? -1 : 1);
    const selected: ServerAnnouncement[] = [];
    for (let index = 0; index < count; index++) {
        const sizes = new Map<string, number>();
        remaining.forEach(engine => sizes.set(engine.failureDomain, (sizes.get(engine.failureDomain) ?? 0) + 1));
        const largestSize = Math.max(...sizes.values());
        const position = remaining.findIndex(engine => sizes.get(engine.failureDomain) === largestSize);
        selected.push(...remaining.splice(position, 1));
    }
    return selected;
}
