import type { Announced, EngineRule } from "../../protocol/index.js";

/** What a usual request takes of a pool; a plan only needs the proportions. */
export type UsualRequest = {
    /** Milliseconds of a prefill engine to read its prompt. */
    readonly readingTime: number;
    /** Milliseconds for which its run holds a place. */
    readonly holdTime: number;
    /** Tokens of KV cache that are held. */
    readonly cacheTokens: number;
};

/** What is assumed until a pool's own requests have been seen: prompts of 3,200 tokens and answers of 940. */
export const assumedRequest: UsualRequest = { readingTime: 100, holdTime: 3_200, cacheTokens: 3_670 };

/**
 * Engines by which what was observed must differ from the stages as they are before one is changed: a change takes an
 * engine out for seconds, and means drift over a burst. More is asked before a decode engine is taken, since runs hold
 * these for seconds, and a queue of prompts is shorter.
 */
const mostReadersTooMany = 0.6;
const mostReadersTooFew = 1.5;

/** An engine that should change its stage. */
export type StageChange = { readonly engine: Announced; readonly stage: "prefill" | "decode"; };

/**
 * The next engines that should change their stage: few enough that the pool never lacks one stage while they change.
 * Engines that read prompts are kept spread over the failure domains, since moves of KV cache between these cost more.
 */
export function planStages(
    engines: readonly Announced[],
    rule: EngineRule,
    observed?: UsualRequest,
): StageChange[] {
    const ready = engines.filter(engine => engine.state === "ready" && engine.stage !== undefined);
    const prefill = ready.filter(engine => engine.stage === "prefill");
    const decode = ready.filter(engine => engine.stage === "decode");
    if (ready.length < 2) {
        return [];
    }
    const exact = ready.length * prefillPart(rule, observed ?? assumedRequest);
    const wanted = Math.min(ready.length - 1, Math.max(1, Math.round(exact)));
    const tooMany = prefill.length > wanted && (observed === undefined || prefill.length - exact > mostReadersTooMany);
    if (tooMany) {
        return fromCrowdedDomain(prefill, prefill.length - wanted).map(engine => ({ engine, stage: "decode" }));
    }
    const tooFew = observed !== undefined && exact - prefill.length > mostReadersTooFew;
    if (tooFew || prefill.length === 0) {
        const lacking = tooFew ? wanted - prefill.length : 1;
        const most = Math.max(0, decode.length - 1);
        return fromCrowdedDomain(decode, Math.min(lacking, most)).map(engine => ({ engine, stage: "prefill" }));
    }
    return [];
}

/**
 * Part of the pool that should read prompts, so that neither stage is full while the other has room: by the time of a whole
 * engine that either takes of a usual request.
 */
function prefillPart(rule: EngineRule, request: UsualRequest): number {
    const heldPart = Math.max(request.cacheTokens / rule.cacheTokens, 1 / rule.slots);
    return request.readingTime / (request.readingTime + request.holdTime * heldPart);
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
