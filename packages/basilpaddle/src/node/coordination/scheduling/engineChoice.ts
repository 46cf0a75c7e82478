import type { SchedulingRequest } from "../../protocol/index.js";
import type { PrefixIndex } from "./prefixIndex.js";
import type { TrackedEngine } from "./trackedEngine.js";
import type { TransferTimes } from "./transferTimes.js";
import type { SchedulerTuning } from "./tuning.js";

/** How long a prefill's result may wait for its link; engines evict it in under a second. */
const maximumLinkWaitMilliseconds = 400;
/** Penalty of a full decode engine against an empty one when decode engines are compared. */
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

/** The prefill part of the choice, which is made first. */
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
            const work = (request.promptTokens - expectedReuse * this.tuning.affinity) * prefill.tokenTime;
            const prefillAt = Math.max(prefill.readyAt(now), now);
            if (prefillAt + work < bestEnd) {
                best = { prefill, work, expectedReuse, prefillAt };
                bestEnd = prefillAt + work;
            }
        }
        return best;
    }

    /**
     * The decode engine for a chosen prefill: one with a free slot, by the time of the first token and the engine's load.
     * `cautious` leaves out engines that have not reported their load yet.
     */
    chooseDecode(
        request: SchedulingRequest,
        chosen: PrefillChoice,
        engines: readonly TrackedEngine[],
        cautious: boolean,
        now: number,
    ): EngineChoice | undefined {
        const prefilledAt = chosen.prefillAt + chosen.work;
        let best: EngineChoice | undefined;
        let bestScore = Infinity;
        for (const decode of engines) {
            if (decode.usedSlots >= decode.slots || !decode.acceptsWork(request.avoid, now)) {
                continue;
            }
            const linkAt = Math.max(prefilledAt, chosen.prefill.linkFreeAt, decode.linkFreeAt);
            const transferredAt = linkAt + this.transfers.expected(chosen.prefill, decode, request.promptTokens);
            const score = transferredAt + decode.tokenTime
                + fullnessPenaltyMilliseconds * decode.usedSlots / decode.slots;
            if (score >= bestScore || linkAt - prefilledAt > maximumLinkWaitMilliseconds) {
                continue;
            }
            // Until all daemons have been asked for their holdings, only the engine's own report shows which slots are used.
            if (cautious && decode.report === undefined) {
                continue;
            }
            bestScore = score;
            best = { ...chosen, decode, transferredAt, firstTokenAt: transferredAt + decode.tokenTime };
        }
        return best;
    }
}
