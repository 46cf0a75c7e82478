import type { EngineLoad } from "./engineLoad.js";

/** The engines of one request: for prefill, undefined if the decode engine runs it itself, and for decode. */
export type EnginePair = {
    readonly prefill: string | undefined;
    readonly decode: string;
    /** Expected milliseconds from now until the prefill is complete. */
    readonly prefillTime: number;
};

/** An engine with its score, in milliseconds; the lowest is the best. */
export type ScoredEngine = { readonly engine: EngineLoad; readonly score: number; };
/** A candidate for one of the stages of a request; `time`: expected milliseconds of its prefill. */
export type Candidate = ScoredEngine & { readonly time: number; };

/** The candidate with the lowest score, the first of several; undefined if there is none. */
export function lowestScore<T extends ScoredEngine>(candidates: readonly T[]): T | undefined {
    let lowest: T | undefined;
    for (const candidate of candidates) {
        if (lowest === undefined || candidate.score < lowest.score) {
            lowest = candidate;
        }
    }
    return lowest;
}

/**
 * The best candidate of each failure domain and software version. Only these can be part of the best pair, since the transfer
 * penalty is the same for all engines of a domain. Comparing all pairs of 78 engines saturated the leader's processor in a burst,
 * and it lost the leadership.
 */
export function bestPerGroup(candidates: readonly Candidate[]): readonly Candidate[] {
    const best = new Map<string, Candidate>();
    for (const candidate of candidates) {
        const { version, announced } = candidate.engine;
        const group = `${announced.failureDomain} ${version}`;
        const known = best.get(group);
        if (known === undefined || candidate.score < known.score) {
            best.set(group, candidate);
        }
    }
    return [...best.values()];
}

/** The best pair of a prefill and a decode engine: of the same version, since no version reads the KV cache of another one. */
export function bestSeparatePair(
    prefills: readonly Candidate[],
    decodes: readonly Candidate[],
): { readonly pair: EnginePair; readonly score: number; } | undefined {
    let best: { readonly pair: EnginePair; readonly score: number; } | undefined;
    for (const decode of decodes) {
        for (const prefill of prefills) {
            if (prefill.engine.version !== decode.engine.version) {
                continue;
            }
            const score = decode.score + prefill.score + prefill.engine.domainPenalty(decode.engine);
            if (best === undefined || score < best.score) {
                const pair = { prefill: prefill.engine.id, decode: decode.engine.id, prefillTime: prefill.time };
                best = { pair, score };
            }
        }
    }
    return best;
}
