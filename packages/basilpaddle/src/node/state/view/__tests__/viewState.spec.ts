import { expect } from "chai";
import * as fc from "fast-check";
import type { Command } from "../../../protocol/index.js";
import { commands } from "../../__tests__/commands.js";
import { Ledger } from "../../ledger.js";
import { goneBackendLimit } from "../backends.js";
import { ViewState } from "../viewState.js";

function applied(...list: readonly Command[]): { state: ViewState; kinds: string[]; } {
    const state = ViewState.create();
    const kinds = list.map((command, position) => state.apply(position + 1, command).kind);
    return { state, kinds };
}

describe("configuration changes", () => {
    it("based on the same revision: the first is accepted, the second gets a conflict that names it", () => {
        // Guards against the second operator's files silently replacing the first's when both read revision 0 and both
        // apply a change: each change has to be checked against the revision that it is based on.
        const { state } = applied(commands.change("one", 0, "ana"));
        expect(state.apply(2, commands.change("two", 0, "bo"))).to.deep.equal({
            kind: "conflict",
            revision: 1,
            winner: { operator: "ana", changeId: "one" },
        });
        expect(state.view().configuration.changeId).to.equal("one");
    });

    it("that are resent get their first result, also after later changes", () => {
        // Guards against an operator who resends a change after a lost response and gets a conflict with that change.
        const { state } = applied(commands.change("one", 0), commands.change("two", 1), commands.change("late", 0));
        expect(state.apply(4, commands.change("one", 0))).to.deep.equal({ kind: "accepted", revision: 1 });
        expect(state.apply(5, commands.change("late", 2))).to.include({ kind: "conflict" });
        expect(state.view().configuration.revision).to.equal(2);
    });
});

describe("sessions and leases", () => {
    it("grant a lease to one open session at a time, with an increasing fence", () => {
        const { state, kinds } = applied(
            commands.open("a"),
            commands.open("b"),
            commands.grant("orders", "a"),
            commands.grant("orders", "b"),
            commands.close("a"),
            commands.grant("orders", "b"),
            commands.grant("orders", "a"),
        );
        expect(kinds).to.deep.equal(["done", "done", "granted", "held", "done", "granted", "stale"]);
        expect(state.view().leases.orders).to.deep.equal({ holder: commands.session("b"), fence: 6 });
    });

    it("of an earlier incarnation end when the daemon opens a new session, and a late close has no effect", () => {
        // Guards against a restarted daemon that loses its session: it opens a session, then the close of its earlier
        // incarnation is committed. Sessions must not be closed by daemon name alone.
        const { state, kinds } = applied(
            commands.open("a", "1"),
            commands.grant("orders", "a", "1"),
            commands.open("a", "2"),
            commands.close("a", "1"),
            commands.open("a", "2"),
        );
        expect(kinds).to.deep.equal(["done", "granted", "done", "stale", "done"]);
        expect(state.view().leases).to.deep.equal({});
        expect(state.view().sessions.a!.session.incarnation).to.equal("2");
    });
});

describe("backend servers", () => {
    it("that left don't return through late commands, only with a higher incarnation", () => {
        // Guards against requests that are routed to a process that is shutting down: a backend server announces itself
        // through a slow entry daemon, leaves through another one and sends no more heartbeats; then the announcement is
        // committed.
        const { state, kinds } = applied(
            commands.announce("w", 3),
            commands.mark("w", 3, "leaving"),
            commands.announce("w", 3),
            commands.mark("w", 3, "gone"),
            commands.announce("w", 3),
            commands.announce("w", 2),
            commands.mark("w", 2, "gone"),
        );
        expect(kinds).to.deep.equal(["done", "done", "stale", "done", "stale", "stale", "stale"]);
        expect(state.view().backends.w!.state).to.equal("gone");
        state.apply(8, commands.announce("w", 4));
        expect(state.view().backends.w!.state).to.equal("ready");
    });

    it("that were gone without leaving return with the same incarnation", () => {
        const { state } = applied(commands.announce("w", 3), commands.mark("w", 3, "gone"), commands.announce("w", 3));
        expect(state.view().backends.w!.state).to.equal("ready");
    });

    it("that are gone are kept up to a limit, the latest ones", () => {
        const state = ViewState.create();
        for (let count = 0; count < goneBackendLimit + 5; count++) {
            state.apply(2 * count + 1, commands.announce(`w${count}`, 1));
            state.apply(2 * count + 2, commands.mark(`w${count}`, 1, "gone"));
        }
        expect(Object.keys(state.view().backends)).to.have.length(goneBackendLimit);
        expect(state.view().backends).to.include.keys(`w${goneBackendLimit + 4}`).and.not.to.have.any.keys("w0", "w4");
    });
});

const daemon = fc.constantFrom("a", "b", "c");
const incarnation = fc.constantFrom("1", "2");
const anyViewCommand: fc.Arbitrary<Command> = fc.oneof(
    fc.tuple(daemon, incarnation).map(([name, start]) => commands.open(name, start)),
    fc.tuple(daemon, incarnation).map(([name, start]) => commands.close(name, start)),
    fc.tuple(fc.constantFrom("orders", "scheduler/x"), daemon, incarnation)
        .map(([lease, name, start]) => commands.grant(lease, name, start)),
    fc.tuple(fc.constantFrom("p", "q", "r"), fc.integer({ min: 0, max: 3 }))
        .map(([changeId, base]) => commands.change(changeId, base)),
    fc.tuple(fc.constantFrom("1", "w"), fc.integer({ min: 0, max: 2 })).map(([id, start]) =>
        commands.announce(id, start)
    ),
    fc.tuple(
        fc.constantFrom("1", "w"),
        fc.integer({ min: 0, max: 2 }),
        fc.constantFrom("leaving" as const, "gone" as const),
    )
        .map(([id, start, mark]) => commands.mark(id, start, mark)),
);

describe("a follower", () => {
    it("that joins from a view and applies steps has the same view as the ledger at every index", () => {
        // Guards against two daemons that route by different configurations of the same revision: a rejected change is
        // resent after a follower joined from a view, and only the ledger knows that it was rejected.
        fc.assert(
            fc.property(fc.array(anyViewCommand, { maxLength: 60 }), fc.nat(60), (list, joinAfter) => {
                const ledger = Ledger.create();
                let follower = ViewState.create();
                list.forEach((command, position) => {
                    ledger.apply(position + 1, command);
                    const query = { after: follower.view().index, count: 100, bytes: 1_000_000 };
                    for (const step of ledger.missingSteps(query)!) {
                        follower.apply(step.index, step.command);
                    }
                    expect(follower.view()).to.deep.equal(ledger.view());
                    if (position === joinAfter) {
                        follower = ViewState.fromSnapshot(structuredClone(ledger.view()));
                    }
                });
            }),
            { seed: 20261202, numRuns: 200 },
        );
    });
});
