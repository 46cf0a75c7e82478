import type { Workload } from "./day.js";
import { type EmulatedRequest, worth } from "./workload.js";

/** What became of all requests of a day. */
export type PoolOutcome = {
    readonly requests: number;
    /** Parts of the requests: first event in time, late, never; lost are those whose answer broke off. */
    readonly inTime: number;
    readonly late: number;
    readonly unserved: number;
    readonly lost: number;
    /** Worth earned of what was owed; late answers count a fifth. */
    readonly worth: number;
    /** The same of the two worst spans of two seconds, by the requests' arrival. */
    readonly worstWindows: number;
    /** Tokens read again or in vain, of all prompt tokens. */
    readonly readAgain: number;
    /** Runs that engines turned away, for each request. */
    readonly turnedAway: number;
    /** Parts in time by the third of the requests with the shortest answers, the middle and the longest. */
    readonly bySize: readonly [number, number, number];
    /** The same by prompts: the shorter half, the next four tenths, and the longest tenth. */
    readonly byPrompt: readonly [number, number, number];
};

/** How one request ended. */
export type CallEnd = {
    readonly request: EmulatedRequest;
    readonly firstAt: number | undefined;
    /** Whether its answer broke off, or never began at an engine that ended. */
    readonly lost: boolean;
};

/** Work that engines did in vain. */
export type Waste = { readonly turnedAway: number; readonly readAgainTokens: number; };

const lateWorth = 0.2;
/** Milliseconds of a span that is looked at by itself, and how many of the worst are taken. */
const windowLength = 2_000;
const worstCount = 2;

/** Sums a day up. */
export function outcomeOf(calls: readonly CallEnd[], workload: Workload, waste: Waste): PoolOutcome {
    const isInTime = (call: CallEnd): boolean => {
        return !call.lost && call.firstAt !== undefined && call.firstAt - call.request.at <= workload.target;
    };
    const isServed = (call: CallEnd): boolean => !call.lost && call.firstAt !== undefined;
    const earned = (some: readonly CallEnd[]): number => {
        const owed = some.reduce((sum, { request }) => sum + worth(request, workload), 0);
        const value = some.filter(isServed).reduce((sum, call) => {
            return sum + worth(call.request, workload) * (isInTime(call) ? 1 : lateWorth);
        }, 0);
        return owed === 0 ? 1 : value / owed;
    };
    const part = (some: readonly CallEnd[], of: readonly CallEnd[]): number => some.length / Math.max(1, of.length);
    const partsInTime = (by: (call: CallEnd) => number, cuts: readonly [number, number]): [number, number, number] => {
        const sorted = [...calls].sort((one, other) => by(one) - by(other));
        const [first, second] = cuts.map(cut => Math.ceil(cut * sorted.length)) as [number, number];
        const groups = [sorted.slice(0, first), sorted.slice(first, second), sorted.slice(second)];
        return groups.map(group => part(group.filter(isInTime), group)) as [number, number, number];
    };
    const promptTokens = calls.reduce((sum, { request }) => sum + request.promptTokens, 0);
    return {
        requests: calls.length,
        inTime: part(calls.filter(isInTime), calls),
        late: part(calls.filter(call => isServed(call) && !isInTime(call)), calls),
        unserved: part(calls.filter(call => !call.lost && call.firstAt === undefined), calls),
        lost: part(calls.filter(({ lost }) => lost), calls),
        worth: earned(calls),
        worstWindows: worstWindows(calls, workload.length, earned),
        readAgain: waste.readAgainTokens / Math.max(1, promptTokens),
        turnedAway: waste.turnedAway / Math.max(1, calls.length),
        bySize: partsInTime(({ request }) => request.answerTokens, [1 / 3, 2 / 3]),
        byPrompt: partsInTime(({ request }) => request.promptTokens, [0.5, 0.9]),
    };
}

function worstWindows(
    calls: readonly CallEnd[],
    length: number,
    earned: (some: readonly CallEnd[]) => number,
): number {
    const windows: CallEnd[][] = Array.from({ length: Math.max(1, Math.ceil(length / windowLength)) }, () => []);
    calls.forEach(call => windows[Math.floor(call.request.at / windowLength)]?.push(call));
    const worst = windows.map(earned).sort((one, other) => one - other).slice(0, worstCount);
    return worst.reduce((sum, window) => sum + window, 0) / worst.length;
}
