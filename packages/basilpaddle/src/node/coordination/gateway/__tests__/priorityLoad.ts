import type { PlacementDecision, PlacementRequest } from "../../../protocol/index.js";
import { hashToFraction } from "../../../utils/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { engines, rule, typicalPlacementRequest } from "./fakes.js";

/** Requests of one kind that arrive with random gaps. */
export type RequestKind = {
    readonly name: string;
    readonly rank: number;
    readonly organisation?: string;
    /** Requests per second at a time. */
    readonly rateAt: (time: number) => number;
    readonly request?: Partial<PlacementRequest>;
};

/** Results of all requests of a kind. */
export type KindOutcome = { sent: number; inTime: number; late: number; refused: number; readonly reasons: string[]; };

/** A pool, its load and its faults. */
export type LoadOptions = {
    readonly prefill: number;
    readonly decode: number;
    readonly kinds: readonly RequestKind[];
    readonly length: number;
    readonly floor?: number;
    /** When the last decode engines end with all their runs, and their number. */
    readonly loss?: { readonly at: number; readonly engines: number; };
    /** @default true */
    readonly isPrioritised?: boolean;
};

type LoadCall = {
    readonly kind: RequestKind;
    readonly sentAt: number;
    readonly outcome: KindOutcome;
    isRetry: boolean;
    decode: string | undefined;
};

const stepMilliseconds = 5;
/** Runs take up to half more or less than this. */
const meanRunMilliseconds = 3_200;
const prefillMillisecondsPerToken = 0.035;
const deadlineMilliseconds = 14_000;

/** Simulates callers that retry a refused request once, and engines whose runs take 1.6 to 4.8 s after their prefill. */
export function simulateLoad(options: LoadOptions): ReadonlyMap<string, KindOutcome> {
    const queue = PlacementQueue.create({ fill: 1, share: 1 });
    const announced = engines(options.prefill, options.decode);
    queue.setPrioritised(options.isPrioritised ?? true, options.floor ?? 0.1);
    queue.setEngines(announced, rule);
    const calls = new Map<string, LoadCall>();
    const events: { readonly at: number; readonly act: () => void; }[] = [];
    const prefillFreeAt = new Map<string, number>();
    let now = 0;
    const schedule = (at: number, act: () => void): void => void events.push({ at, act });
    const handle = (decisions: readonly PlacementDecision[]): void => decisions.forEach(apply);
    const apply = (decision: PlacementDecision): void => {
        const { attempt } = decision;
        const call = calls.get(attempt)!;
        const { kind, outcome } = call;
        if (decision.kind === "refused") {
            outcome.reasons.push(decision.reason);
            if (call.isRetry) {
                outcome.refused += 1;
                return;
            }
            const retryIn = Math.min(decision.comeBackIn, (call.sentAt + deadlineMilliseconds - now) / 3);
            schedule(now + retryIn, () => {
                calls.set(`${attempt}-again`, { ...call, isRetry: true });
                handle(queue.enqueueRequest(placementRequest(`${attempt}-again`), now));
            });
            return;
        }
        call.decode = decision.decode;
        const { promptTokens } = placementRequest(attempt);
        const engine = decision.prefill ?? decision.decode;
        const prefilledAt = Math.max(now, prefillFreeAt.get(engine) ?? 0) + promptTokens * prefillMillisecondsPerToken;
        prefillFreeAt.set(engine, prefilledAt);
        schedule(prefilledAt, () => queue.prefillCompleted(attempt, now));
        const runMilliseconds = meanRunMilliseconds * (0.5 + hashToFraction(`run of ${attempt}`));
        schedule(prefilledAt + runMilliseconds, () => handle(queue.release(attempt, {}, now)));
        const isInTime = prefilledAt - call.sentAt <= typicalPlacementRequest(attempt, kind.request).targetWithin;
        outcome[isInTime ? "inTime" : "late"] += 1;
    };
    const placementRequest = (attempt: string): PlacementRequest => {
        const { kind, sentAt } = calls.get(attempt)!;
        const { rank: priority, organisation } = kind;
        const deadlineWithin = sentAt + deadlineMilliseconds - now;
        return typicalPlacementRequest(attempt, { priority, organisation, deadlineWithin, ...kind.request });
    };
    const outcomes = new Map(options.kinds.map(kind => {
        const outcome: KindOutcome = { sent: 0, inTime: 0, late: 0, refused: 0, reasons: [] };
        for (let at = 0, number = 0; at < options.length; number++) {
            const attempt = `${kind.name}-${number}`;
            const sentAt = at;
            outcome.sent += 1;
            schedule(sentAt, () => {
                calls.set(attempt, { kind, sentAt, outcome, isRetry: false, decode: undefined });
                handle(queue.enqueueRequest(placementRequest(attempt), now));
            });
            at += -Math.log(1 - hashToFraction(attempt)) * 1_000 / kind.rateAt(at);
        }
        return [kind.name, outcome] as const;
    }));
    const { loss } = options;
    if (loss !== undefined) {
        const lost = new Set(announced.slice(-loss.engines).map(({ id }) => id));
        schedule(loss.at, () => {
            queue.setEngines(announced.filter(({ id }) => !lost.has(id)), rule);
            const runs = [...calls].filter(([, { decode }]) => decode !== undefined && lost.has(decode));
            runs.forEach(([attempt]) => handle(queue.release(attempt, { failed: calls.get(attempt)!.decode }, now)));
        });
    }
    for (; now < options.length + deadlineMilliseconds; now += stepMilliseconds) {
        events.sort((one, other) => one.at - other.at);
        while (events.length > 0 && events[0]!.at <= now) {
            events.shift()!.act();
        }
        handle(queue.review(now));
    }
    return outcomes;
}
