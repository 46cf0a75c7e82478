import { Encoder } from "cbor-x";
import { expect } from "chai";
import * as fc from "fast-check";
import type { Command } from "../../protocol/index.js";
import { auditEntryLimit } from "../audit.js";
import { Ledger } from "../ledger.js";
import { decodeSnapshot } from "../ledgerSnapshot.js";
import { commands } from "./commands.js";

function ledgerOf(...list: readonly Command[]): Ledger {
    const ledger = Ledger.create();
    list.forEach((command, position) => ledger.apply(position + 1, command));
    return ledger;
}

describe("run records", () => {
    it("start a key at most once until it is released, for any order of arrivals and resends", () => {
        // Guards against a non-idempotent request that runs twice, so that a landlord gets two claim letters: one key is
        // retried through several entry daemons, with resends and late finishes in any order, and its record loses or
        // mixes up the token of the arrival.
        const key = fc.constantFrom("k", "l");
        const token = fc.constantFrom("t1", "t2", "t3");
        const step = fc.tuple(fc.constantFrom("start", "finish", "release"), key, token);
        fc.assert(
            fc.property(fc.array(step, { maxLength: 80 }), steps => {
                const ledger = Ledger.create();
                const running = new Map<string, string>();
                const ended = new Set<string>();
                steps.forEach(([kind, name, arrival], position) => {
                    const command = commands[kind as "start" | "finish" | "release"](name, arrival);
                    const result = ledger.apply(position + 1, command).kind;
                    if (kind === "start" && result === "started") {
                        expect(ended.has(name)).to.equal(false);
                        expect(running.get(name) ?? arrival).to.equal(arrival);
                        running.set(name, arrival);
                    }
                    if (kind === "start" && result === "known") {
                        expect(running.has(name) || ended.has(name)).to.equal(true);
                    }
                    if (running.get(name) === arrival && kind !== "start") {
                        expect(result).to.equal("done");
                        running.delete(name);
                        if (kind === "finish") {
                            ended.add(name);
                        }
                    }
                });
            }),
            { seed: 20261202, numRuns: 500 },
        );
    });

    it("return the answer to a second arrival with the same body, but not to one with another body", () => {
        const ledger = ledgerOf(commands.start("k", "t1"), commands.finish("k", "t1"));
        const known = { kind: "known", state: "answered", owner: commands.session("entry-1") };
        const body = new TextEncoder().encode("notice");
        const answer = { status: 200, headers: {}, body };
        expect(ledger.apply(3, commands.start("k", "t2"))).to.deep.equal({ ...known, sameDigest: true, answer });
        expect(ledger.apply(4, commands.start("k", "t2", "other"))).to.deep.equal({
            ...known,
            sameDigest: false,
            answer: undefined,
        });
    });

    it("report a run as unknown once its owner's session is closed, and as running before", () => {
        // Guards against a caller that resends a notice and gets `running` for a day although the entry daemon that owned
        // the run crashed and its session is closed: `running` was returned without checking the owner's session.
        const ledger = ledgerOf(commands.open("entry-1"), commands.start("k", "t1"));
        expect(ledger.apply(3, commands.start("k", "t2"))).to.include({ kind: "known", state: "running" });
        ledger.apply(4, commands.close("entry-1"));
        expect(ledger.apply(5, commands.start("k", "t2"))).to.include({ kind: "known", state: "unknown" });
    });

    it("reject a start that is committed after the release of its token", () => {
        // Guards against a key that is "in progress" until it expires although nothing ran: the start is proposed to a
        // leader that loses its term, the release to the next leader, and the start is committed after the release. The
        // release of an unknown key has to leave a record.
        const ledger = ledgerOf(commands.open("entry-1"), commands.release("k", "t1"));
        expect(ledger.apply(3, commands.start("k", "t1")).kind).to.equal("stale");
        expect(ledger.apply(4, commands.start("k", "t2")).kind).to.equal("started");
        expect(ledger.apply(5, commands.start("k", "t1")).kind).to.equal("known");
    });

    it("reject a late start of a released token after other arrivals started and released the key", () => {
        // Guards against a key that is "in progress" until it expires although nothing ran: an arrival is released while
        // its start is in flight, a second arrival starts and is released, then a late copy of the first start is
        // committed. A released token must not be overwritten by the next release, and must be stored while another
        // arrival runs.
        const releasedFirst = ledgerOf(
            commands.release("k", "t1"),
            commands.start("k", "t2"),
            commands.release("k", "t2"),
        );
        const releasedDuringRun = ledgerOf(
            commands.start("k", "t2"),
            commands.release("k", "t1"),
            commands.release("k", "t2"),
        );
        for (const ledger of [releasedFirst, releasedDuringRun]) {
            const copy = Ledger.create();
            copy.restore(ledger.snapshot());
            expect(copy.apply(4, commands.start("k", "t1")).kind).to.equal("stale");
            expect(copy.apply(5, commands.start("k", "t2")).kind).to.equal("stale");
            expect(copy.apply(6, commands.start("k", "t3")).kind).to.equal("started");
        }
    });

    it("are restored unchanged from a snapshot, each with its own answer, end and releases", () => {
        const ledger = ledgerOf(
            commands.start("ключ", "t1"),
            commands.finish("ключ", "t1", "notice"),
            commands.start("", "t2", "\n"),
            commands.release("k", "t3"),
            commands.start("k", "t4"),
            commands.start("l", "t5"),
        );
        const owner = commands.session("entry-1");
        const plain = { owner, startedAt: 1, releasedTokens: [] as string[] };
        const answer = { status: 200, headers: {}, body: new TextEncoder().encode("notice") };
        const runs = decodeSnapshot(ledger.snapshot()).runs.map(run =>
            run.answer === undefined
                ? run
                : { ...run, answer: { ...run.answer, body: Uint8Array.from(run.answer.body) } }
        );
        expect(runs).to.deep.equal([
            {
                ...plain,
                key: "ключ",
                digest: "d",
                token: "t1",
                sinceIndex: 1,
                state: "answered",
                answer,
                endedIndex: 2,
            },
            { ...plain, key: "", digest: "\n", token: "t2", sinceIndex: 3, state: "running" },
            {
                ...plain,
                key: "k",
                digest: "d",
                token: "t4",
                sinceIndex: 5,
                state: "running",
                releasedTokens: ["t3"],
            },
            { ...plain, key: "l", digest: "d", token: "t5", sinceIndex: 6, state: "running" },
        ]);
    });

    it("store a bounded number of released tokens per key", () => {
        const releases = Array.from({ length: 100 }, (_, position) => commands.release("k", `t${position}`));
        const runs = decodeSnapshot(ledgerOf(...releases).snapshot()).runs;
        expect(runs.map(run => run.releasedTokens)).to.deep.equal([["t96", "t97", "t98", "t99"]]);
    });

    it("are bounded: starts are rejected when full, and new answers evict the oldest", () => {
        const ledger = Ledger.create({ records: 2, answerBytes: 10, oneAnswerBytes: 8 });
        const results = [
            commands.start("k", "t"),
            commands.start("l", "t"),
            commands.start("m", "t"),
            commands.finish("k", "t", "12345678"),
            commands.finish("l", "t", "123"),
        ].map((command, position) => ledger.apply(position + 1, command).kind);
        expect(results).to.deep.equal(["started", "started", "full", "done", "done"]);
        expect(ledger.runUsage()).to.deep.equal({ records: 2, answerBytes: 3 });
        const bodies = ["k", "l"].map((key, position) => {
            const result = ledger.apply(6 + position, commands.start(key, "u"));
            expect(result).to.include({ kind: "known", state: "answered" });
            return result.kind === "known" ? result.answer?.body.length : result;
        });
        expect(bodies).to.deep.equal([undefined, 3]);
        const restored = Ledger.create({ records: 2, answerBytes: 10, oneAnswerBytes: 8 });
        restored.restore(ledger.snapshot());
        expect(restored.runUsage()).to.deep.equal({ records: 2, answerBytes: 3 });
        ledger.apply(8, { kind: "expireRuns", upTo: 1, at: 3 });
        expect(ledger.runUsage()).to.deep.equal({ records: 1, answerBytes: 3 });
        ledger.apply(9, { kind: "expireRuns", upTo: 2, at: 3 });
        expect(ledger.runUsage()).to.deep.equal({ records: 0, answerBytes: 0 });
    });
});

describe("the ledger", () => {
    const list = [
        commands.open("entry-1"),
        commands.change("one", 0),
        commands.change("two", 0, "bo"),
        commands.announce("w", 1),
        commands.start("k", "t"),
        commands.finish("k", "t"),
    ];

    it("is restored unchanged from a snapshot, and rejects another layout version", () => {
        const ledger = ledgerOf(...list);
        const copy = Ledger.create();
        copy.restore(ledger.snapshot());
        expect(decodeSnapshot(copy.snapshot())).to.deep.equal(decodeSnapshot(ledger.snapshot()));
        for (
            const command of [commands.change("two", 0), commands.start("k", "u"), commands.grant("orders", "entry-1")]
        ) {
            const index = ledger.appliedIndex() + 1;
            expect(copy.apply(index, command)).to.deep.equal(ledger.apply(index, command));
        }
        const newerSnapshot = new Encoder({ useRecords: false }).encode({ version: 4, content: {} });
        expect(() => copy.restore(newerSnapshot)).to.throw(/layout version 4.*reads version 3/);
    });

    it("rejects commands and snapshots older than its state", () => {
        // Guards against a daemon that serves an old configuration because it restored an older snapshot or applied a
        // command twice.
        const old = ledgerOf(...list.slice(0, 2)).snapshot();
        const ledger = ledgerOf(...list);
        expect(() => ledger.restore(old)).to.throw(/Invariant violated/);
        expect(() => ledger.apply(6, list[0]!)).to.throw(/Invariant violated/);
    });

    it("audits who changed what against which revision, and with what outcome", () => {
        const [conflicting, accepted] = ledgerOf(...list).auditPage({ topic: "configuration", limit: 10 });
        expect(accepted).to.include({
            index: 2,
            who: "ana",
            subject: "one",
            revision: 0,
            outcome: "accepted as revision 1",
        });
        expect(conflicting).to.include({ who: "bo", outcome: "conflict with revision 1 by ana (one)" });
    });

    it("doesn't evict configuration changes from the audit trail when many sessions are opened", () => {
        const ledger = ledgerOf(...list);
        for (let index = 7; index < 7 + 2 * auditEntryLimit; index++) {
            ledger.apply(index, commands.open("entry-1", String(index)));
        }
        expect(ledger.auditPage({ topic: "configuration", limit: 10 })).to.have.length(2);
        expect(ledger.auditPage({ limit: 4 * auditEntryLimit }).length).to.be.at.most(2 + auditEntryLimit * 1.1);
    });

    it("keeps the files of accepted configurations in its history", () => {
        const [entry] = ledgerOf(...list).history();
        expect(entry).to.deep.include({ revision: 1, operator: "ana" });
        expect(entry!.files[0]!.name).to.equal("10-pools.json");
    });
});
