import type { Allowance, ChargeDecision } from "../../../protocol/index.js";
import { SeededRandomness } from "../../../utils/index.js";

/** One request of a load, its time in milliseconds. */
export type RankedRequest = { readonly at: number; readonly rank: number; readonly cost: number; };

/** Rate and burst of the organisation under load. */
export const allowance: Allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 100 };
/** What it usually sends, in units per second. */
const usualRate = 400;
const millisecondsInSecond = 1_000;

/** Requests at `factor` times the usual load; `shares`: the fraction of each rank; costs spread log-normally. */
export function rankedLoad(
    shares: readonly number[],
    factor: number,
    seconds: number,
    meanCost: number,
    seed = 1,
): RankedRequest[] {
    const random = SeededRandomness.create(seed);
    const interval = millisecondsInSecond * meanCost / (usualRate * factor);
    const requests: RankedRequest[] = [];
    for (let at = 0; at < seconds * millisecondsInSecond; at -= Math.log(1 - random.fraction()) * interval) {
        let position = random.fraction();
        const rank = shares.findIndex(share => (position -= share) < 0);
        const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
        requests.push({ at, rank: Math.max(0, rank), cost: meanCost * Math.exp(normal / 2 - 1 / 8) });
    }
    return requests;
}

/** What became of the requests of one rank: the fraction refused, and units granted per second of the load. */
export type RankOutcome = { readonly refused: number; readonly unitsPerSecond: number; };

/** Decides on each request, and sums up those of each rank that arrived between two seconds. */
export function outcomes(
    requests: readonly RankedRequest[],
    decide: (request: RankedRequest) => ChargeDecision,
    from: number,
    until: number,
): RankOutcome[] {
    const sums = [0, 1, 2].map(() => ({ sent: 0, granted: 0, units: 0 }));
    for (const request of requests) {
        const { granted } = decide(request);
        if (request.at >= from * millisecondsInSecond && request.at < until * millisecondsInSecond) {
            const sum = sums[request.rank]!;
            sum.sent += 1;
            sum.granted += granted ? 1 : 0;
            sum.units += granted ? request.cost : 0;
        }
    }
    return sums.map(({ sent, granted, units }) => ({
        refused: 1 - granted / sent,
        unitsPerSecond: units / (until - from),
    }));
}
