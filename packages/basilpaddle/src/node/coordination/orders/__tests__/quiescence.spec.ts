import { expect } from "chai";
import { engineAnnouncement } from "../../../../../../../simulation/orders/samples.js";
import type { ObservedEngine, QuiescenceWait } from "../orderState.js";
import { advanceQuiescence, isQuiescent, PoolActivity } from "../quiescence.js";

const settle = 3_060;

function observed(id: string, role: "prefill" | "decode", askedAt: number, active?: string[]): ObservedEngine {
    const state = { id, incarnation: 1, role, models: [], highestFence: 0 };
    const reading = active === undefined ? undefined : { state: { ...state, active }, askedAt };
    return { announcement: engineAnnouncement(id, { role }), state: "ready", reading };
}

/** Quiescence of a decode engine by round, from the active attempts at it and at a prefill engine; undefined: not read. */
function quiescenceByRound(
    rounds: readonly { readonly prefill?: string[]; readonly decode?: string[]; }[],
    startAt = settle,
) {
    let wait: QuiescenceWait | undefined = { firstSeenAt: 0, waitingFor: undefined };
    return rounds.map(({ prefill, decode }, index) => {
        const now = startAt + index * 1_000;
        const engine = observed("decode-0", "decode", now, decode);
        const activity = PoolActivity.create([observed("prefill-0", "prefill", now, prefill), engine]);
        wait = advanceQuiescence(wait, engine, activity, now, settle);
        return isQuiescent(wait);
    });
}

describe("waiting until no older attempt can reach an engine", () => {
    it("starts once no daemon can start work based on an older view", () => {
        // Guards against a role change that aborts requests which arrived after the engine was drained. The engine is idle
        // when it is drained, a daemon whose view is two seconds old selects it, and then the role is changed: idleness
        // proves nothing before all view leases based on the older view have expired.
        expect(quiescenceByRound([{ prefill: [], decode: [] }], settle - 1)).to.deep.equal([false]);
        expect(quiescenceByRound([{ prefill: [], decode: [] }], settle)).to.deep.equal([true]);
    });

    it("waits for attempts that are still at a prefill engine", () => {
        // Guards against the same failure: the prefill runs elsewhere while the engine is idle, and the attempt arrives later.
        const rounds = [{ prefill: ["a"], decode: [] }, { prefill: [], decode: ["a"] }, { prefill: [], decode: ["a"] }];
        expect(quiescenceByRound(rounds)).to.deep.equal([false, false, false]);
    });

    it("doesn't consider an attempt ended that is moving between two engines while they are read", () => {
        // Guards against the same failure: the decode engine is read before the attempt arrives and the prefill engine after
        // it has left, so that one round of readings without the attempt doesn't prove that it has ended.
        const rounds = [
            { prefill: ["a"], decode: [] },
            { prefill: [], decode: [] },
            { prefill: [], decode: ["a"] },
            { prefill: [], decode: [] },
            { prefill: [], decode: [] },
        ];
        expect(quiescenceByRound(rounds)).to.deep.equal([false, false, false, false, true]);
    });

    it("doesn't consider an attempt ended at an engine that can't be read", () => {
        const rounds = [{ prefill: ["a"], decode: [] }, { decode: [] }, { decode: [] }, { decode: [] }];
        expect(quiescenceByRound(rounds)).to.deep.equal([false, false, false, false]);
    });

    it("doesn't wait for attempts that started later", () => {
        const rounds = [{ prefill: ["a"], decode: [] }, { prefill: ["b"], decode: [] }, { prefill: ["c"], decode: [] }];
        expect(quiescenceByRound(rounds)).to.deep.equal([false, false, true]);
    });
});
