import type { SchedulingRequest } from "../../protocol/index.js";
import type { PrefixIndex } from "./prefixIndex.js";
import type { TrackedEngine } from "./trackedEngine.js";
import type { TransferTimes } from "./transferTimes.js";
import type { SchedulerTuning } from "./tuning.js";

/** Maximum time for which a prefill's result may wait for a free link; engines evict it in under a second. */
const maxLinkWaitMilliseconds = 400;
/** Penalty in the score of a decode engine whose slots are all used; lower in proportion to the slots that are free. */
const fullnessPenaltyMilliseconds = 40;

/** The engines chosen for a request, with their expected times. */
export type EngineChoice = {
    readonly prefill: TrackedEngine;
    readonly decode: TrackedEngine;
    /** Expected prefill time in milliseconds, less the time saved by cached prefixes. */
    readonly work: number;
    readonly expectedReuse: number;
    /** Expected times, in monotonic milliseconds, of the prefill's start, the end of the transfer and the first token. */
    readonly prefillAt: number;
    readonly transferredAt: number;
    readonly firstTokenAt: number;
};

/** The prefill part of an engine choice, which is made first. */
export type PrefillChoice = Pick<EngineChoice, "prefill" | "work" | "expectedReuse" | "prefillAt">;

/** Chooses engines of one pool. */
export class EngineChooser {
    private constructor(
        private readonly prefixes: PrefixIndex,
        private readonly transfers: TransferTimes,
        private readonly tuning: SchedulerTuning,
    ) {}

    static create(options: {
        readonly prefixes: PrefixIndex;
        readonly transfers: TransferTimes;
        readonly tuning: SchedulerTuning;
    }): EngineChooser {
        return new EngineChooser(options.prefixes, options.transfers, options.tuning);
    }

    /** The prefill engine that is expected to finish the prompt first. */
    choosePrefill(
        request: SchedulingRequest,
        engines: readonly TrackedEngine[],
        now: number,
    ): PrefillChoice | undefined {
        let best: PrefillChoice | undefined;
        let bestEnd = Infinity;
        for (const prefill of engines) {
            if (!prefill.acceptsWork(request.avoid, now)) {
                continue;
            }
            const expectedReuse = this.tuning.affinity === 0
                ? 0
                : Math.min(
                    request.promptTokens,
                    this.prefixes.reusableTokens(prefill.id, request.prefixes, request.blockTokens),
                );
            const prefillTime = (request.promptTokens - expectedReuse * this.tuning.affinity) * prefill.tokenTime;
            const prefillAt = Math.max(prefill.readyAt(now), now);
            if (prefillAt + prefillTime < bestEnd) {
                best = { prefill, work: prefillTime, expectedReuse, prefillAt };
                bestEnd = prefillAt + prefillTime;
            }
        }
        return best;
    }

    /**
     * The decode engine with a free slot that has the lowest score: the expected time of the first token plus a penalty for
     * its load. `requiresReport` excludes engines that have not reported their load yet.
     */
    chooseDecode(
        request: SchedulingRequest,
        prefillChoice: PrefillChoice,
        engines: readonly TrackedEngine[],
        requiresReport: boolean,
        now: number,
    ): EngineChoice | undefined {
        const prefilledAt = prefillChoice.prefillAt + prefillChoice.work;
        let best: EngineChoice | undefined;
        let bestScore = Infinity;
        for (const decode of engines) {
            if (decode.usedSlots >= decode.slots || !decode.acceptsWork(request.avoid, now)) {
                continue;
            }
            const transferStartAt = Math.max(prefilledAt, prefillChoice.prefill.linkFreeAt, decode.linkFreeAt);
            const transferredAt = transferStartAt
                + this.transfers.expected(prefillChoice.prefill, decode, request.promptTokens);
            const score = transferredAt + decode.tokenTime
                + fullnessPenaltyMilliseconds * decode.usedSlots / decode.slots;
            if (score >= bestScore || transferStartAt - prefilledAt > maxLinkWaitMilliseconds) {
                continue;
            }
            // Until all daemons have reported their allocations, only the engine's own report shows which slots are used.
            if (requiresReport && decode.report === undefined) {
                continue;
            }
            bestScore = score;
            best = { ...prefillChoice, decode, transferredAt, firstTokenAt: transferredAt + decode.tokenTime };
        }
        return best;
    }
}
