import type { Announced, EngineRule } from "../../protocol/index.js";

/**
 * What a usual request takes of a pool: seconds of a prefill engine to read its prompt, seconds that its run holds a
 * place, and tokens of KV cache held. Means of prompts of 3,200 tokens and answers of 940 on the engines that the
 * deployments run; a plan only needs their proportions.
 */
const readSeconds = 0.1;
const holdSeconds = 3.2;
const heldTokens = 3_670;

/** An engine that should change its stage. */
export type StageChange = { readonly engine: Announced; readonly stage: "prefill" | "decode"; };

/**
 * The next engines that should change their stage: few enough that the pool never lacks one stage while they change.
 * Engines that read prompts are kept spread over the failure domains, since moves of KV cache between these cost more.
 */
export function planStages(engines: readonly Announced[], rule: EngineRule): StageChange[] {
    const ready = engines.filter(engine => engine.state === "ready" && engine.stage !== undefined);
    const prefill = ready.filter(engine => engine.stage === "prefill");
    const decode = ready.filter(engine => engine.stage === "decode");
    if (ready.length < 2) {
        return [];
    }
    const wanted = Math.max(1, Math.round(ready.length * prefillPart(rule)));
    if (prefill.length > wanted) {
        return fromCrowdedDomain(prefill, prefill.length - wanted).map(engine => ({ engine, stage: "decode" }));
    }
    if (prefill.length === 0 && decode.length > 1) {
        return fromCrowdedDomain(decode, 1).map(engine => ({ engine, stage: "prefill" }));
    }
    return [];
}

/**
 * Part of the pool that should read prompts, so that neither stage is full while the other has room: by the seconds of
 * a whole engine that either takes of a usual request.
 */
function prefillPart(rule: EngineRule): number {
    const heldPart = Math.max(heldTokens / rule.cacheTokens, 1 / rule.slots);
    return readSeconds / (readSeconds + holdSeconds * heldPart);
}

/** Takes engines one by one from the failure domain that has most of them; the least identifier first, so that it repeats. */
function fromCrowdedDomain(engines: readonly Announced[], count: number): Announced[] {
    const left = [...engines].sort((one, other) => one.id < other.id ? -1 : 1);
    const taken: Announced[] = [];
    for (let turn = 0; turn < count; turn++) {
        const sizes = new Map<string, number>();
        left.forEach(engine => sizes.set(engine.failureDomain, (sizes.get(engine.failureDomain) ?? 0) + 1));
        const most = Math.max(...sizes.values());
        const position = left.findIndex(engine => sizes.get(engine.failureDomain) === most);
        taken.push(...left.splice(position, 1));
    }
    return taken;
}
