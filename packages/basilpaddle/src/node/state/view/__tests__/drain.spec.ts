import { expect } from "chai";
import type { Command } from "../../../protocol/index.js";
import { commands } from "../../__tests__/commands.js";
import { ViewState } from "../viewState.js";

function drain(fence: number, draining = true, incarnation = 1): Command {
    return { kind: "drainBackend", id: "decode-1", incarnation, draining, fence, at: 1 };
}

function applied(...list: readonly Command[]): { view: ViewState; kinds: string[]; state: string | undefined; } {
    const view = ViewState.create();
    const kinds = list.map((command, position) => view.apply(position + 1, command).kind);
    return { view, kinds, state: view.view().backends["decode-1"]?.state };
}

const leaseAndBackend = [commands.open("a"), commands.grant("orders", "a"), commands.announce("decode-1", 1)];

describe("draining", () => {
    it("is accepted only from the current holder of the orders lease", () => {
        // Guards against an engine that gets no work although the new lease holder ended its drain: the old holder stalls
        // with a proposal in flight, another daemon gets the lease, then the old proposal is committed. Each command has
        // to be checked against the fence under which it was made.
        const { kinds, state } = applied(
            ...leaseAndBackend,
            drain(2),
            commands.close("a"),
            commands.open("b"),
            commands.grant("orders", "b"),
            drain(7, false),
            drain(2),
        );
        expect(kinds.slice(3)).to.deep.equal(["done", "done", "done", "granted", "done", "stale"]);
        expect(state).to.equal("ready");
    });

    it("survives an announcement of the same incarnation and ends with the next incarnation", () => {
        // Guards against an engine that aborts requests while it changes its role: it is drained, a model that it was
        // loading becomes warm, it announces that, and entry daemons select it again because the announcement cleared
        // the draining state.
        expect(applied(...leaseAndBackend, drain(2), commands.announce("decode-1", 1)).state).to.equal("draining");
        expect(applied(...leaseAndBackend, drain(2), commands.announce("decode-1", 2)).state).to.equal("ready");
    });

    it("is overridden by leaving, and its end doesn't bring back an engine that left", () => {
        const leaving = [...leaseAndBackend, drain(2), commands.mark("decode-1", 1, "leaving")];
        expect(applied(...leaving).state).to.equal("leaving");
        const { kinds, state } = applied(...leaving, drain(2, false));
        expect(kinds.at(-1)).to.equal("stale");
        expect(state).to.equal("leaving");
    });
});

describe("moving traffic", () => {
    function move(fence: number, model = "m"): Command {
        return { kind: "moveTraffic", pool: "drafting", model, version: "2", fence, at: 1 };
    }

    it("is accepted only under the current fence of the orders lease and for declared models", () => {
        const list = [commands.open("a"), commands.grant("orders", "a"), commands.change("one", 0)];
        const { view, kinds } = applied(...list, move(1), move(2, "other"), move(2));
        expect(kinds.slice(3)).to.deep.equal(["stale", "stale", "done"]);
        expect(view.view().served).to.deep.equal({ drafting: { m: "2" } });
    });

    it("removes pools that aren't declared any more", () => {
        const list = [commands.open("a"), commands.grant("orders", "a"), commands.change("one", 0), move(2)];
        const { view } = applied(...list, commands.change("two", 1, "ana", "other"));
        view.apply(6, { kind: "moveTraffic", pool: "other", model: "m", version: "1", fence: 2, at: 1 });
        expect(view.view().served).to.deep.equal({ other: { m: "1" } });
    });
});
