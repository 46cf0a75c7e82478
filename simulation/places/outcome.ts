import type { Workload } from "./day.js";
import { type EmulatedRequest, worth } from "./workload.js";

/** Results of all requests of a day. */
export type PoolOutcome = {
    readonly requests: number;
    /** Fractions of the requests: first event in time, late, never; `lost` are those whose engine crashed during the run. */
    readonly inTime: number;
    readonly late: number;
    readonly unserved: number;
    readonly lost: number;
    /** Earned fraction of the total worth of all requests; late answers count a fifth. */
    readonly worth: number;
    /** The same fraction, as the mean of the two worst windows of two seconds by arrival time. */
    readonly worstWindows: number;
    /** Mean seconds from the first attempt to the end of the answer, of the requests that were served to their end. */
    readonly finish: number;
    /** Tokens that were computed again or whose result wasn't used, relative to all prompt tokens. */
    readonly readAgain: number;
    /** Runs that engines rejected, per request. */
    readonly turnedAway: number;
    /** Fractions in time of the thirds of the requests with the shortest, middle and longest answers. */
    readonly bySize: readonly [number, number, number];
    /** The same by prompt length: the shorter half, the next four tenths, and the longest tenth. */
    readonly byPrompt: readonly [number, number, number];
};

/** Result of one request. */
export type CallResult = {
    readonly request: EmulatedRequest;
    readonly firstAt: number | undefined;
    /** When its answer was complete; undefined if it wasn't. */
    readonly endAt: number | undefined;
    /** Whether its engine crashed during the run, before or after the first event. */
    readonly lost: boolean;
};

/** Rejected runs, and tokens that engines computed again or for nothing. */
export type WastedWork = { readonly turnedAway: number; readonly wastedPromptTokens: number; };

const lateWorthFraction = 0.2;
/** Length of the windows for `worstWindows`, and how many of the worst are averaged. */
const windowMilliseconds = 2_000;
const millisecondsInSecond = 1_000;
const worstWindowCount = 2;

/** Summarises the results of a day. */
export function outcomeOf(calls: readonly CallResult[], workload: Workload, waste: WastedWork): PoolOutcome {
    const isInTime = (call: CallResult): boolean => {
        return !call.lost && call.firstAt !== undefined && call.firstAt - call.request.at <= workload.target;
    };
    const isServed = (call: CallResult): boolean => !call.lost && call.firstAt !== undefined;
    const earned = (some: readonly CallResult[]): number => {
        const owed = some.reduce((sum, { request }) => sum + worth(request, workload), 0);
        const value = some.filter(isServed).reduce((sum, call) => {
            return sum + worth(call.request, workload) * (isInTime(call) ? 1 : lateWorthFraction);
        }, 0);
        return owed === 0 ? 1 : value / owed;
    };
    const fraction = (some: readonly CallResult[], of: readonly CallResult[]): number =>
        some.length / Math.max(1, of.length);
    const fractionsInTime = (
        by: (call: CallResult) => number,
        quantiles: readonly [number, number],
    ): [number, number, number] => {
        const sorted = [...calls].sort((one, other) => by(one) - by(other));
        const [first, second] = quantiles.map(cut => Math.ceil(cut * sorted.length)) as [number, number];
        const groups = [sorted.slice(0, first), sorted.slice(first, second), sorted.slice(second)];
        return groups.map(group => fraction(group.filter(isInTime), group)) as [number, number, number];
    };
    const finishTimes = calls.flatMap(({ request, endAt }) => endAt === undefined ? [] : [endAt - request.at]);
    const promptTokens = calls.reduce((sum, { request }) => sum + request.promptTokens, 0);
    return {
        requests: calls.length,
        inTime: fraction(calls.filter(isInTime), calls),
        late: fraction(calls.filter(call => isServed(call) && !isInTime(call)), calls),
        unserved: fraction(calls.filter(call => !call.lost && call.firstAt === undefined), calls),
        lost: fraction(calls.filter(({ lost }) => lost), calls),
        worth: earned(calls),
        worstWindows: worstWindows(calls, workload.length, earned),
        finish: finishTimes.reduce((sum, time) => sum + time, 0) / Math.max(1, finishTimes.length)
            / millisecondsInSecond,
        readAgain: waste.wastedPromptTokens / Math.max(1, promptTokens),
        turnedAway: waste.turnedAway / Math.max(1, calls.length),
        bySize: fractionsInTime(({ request }) => request.answerTokens, [1 / 3, 2 / 3]),
        byPrompt: fractionsInTime(({ request }) => request.promptTokens, [0.5, 0.9]),
    };
}

function worstWindows(
    calls: readonly CallResult[],
    length: number,
    earned: (some: readonly CallResult[]) => number,
): number {
    const windows: CallResult[][] = Array.from(
        { length: Math.max(1, Math.ceil(length / windowMilliseconds)) },
        () => [],
    );
    calls.forEach(call => windows[Math.floor(call.request.at / windowMilliseconds)]?.push(call));
    const worst = windows.map(earned).sort((one, other) => one - other).slice(0, worstWindowCount);
    return worst.reduce((sum, window) => sum + window, 0) / worst.length;
}
