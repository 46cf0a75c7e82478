import { expect } from "chai";
import { rest } from "../../../../../../../simulation/manualClock.js";
import { demand, engine } from "../../../../../../../simulation/scheduling/samples.js";
import type { Decision, Holding } from "../../../protocol/index.js";
import { incarnation, sampleView, TestDaemons } from "./fakes.js";

const never = new AbortController().signal;

function demandOf(daemon: string, name: string, more: Parameters<typeof demand>[1] = {}) {
    return demand(`${daemon}/i1/${name}`, { owner: incarnation(daemon), firstTokenWithin: 20_000, ...more });
}

function holdingOf(daemon: string, name: string, stage: Holding["stage"]): Holding {
    return { demand: demandOf(daemon, name), prefill: "p1", decode: "d1", stage, tokens: 0 };
}

describe("the placement through a pool's scheduler", () => {
    let daemons: TestDaemons;
    let decisions: Map<string, Decision>;

    beforeEach(async () => {
        const engines = [engine("p1", "prefill", { slots: 8 }), engine("d1", "decode", { slots: 2 })];
        daemons = new TestDaemons(["a", "b", "c"], sampleView(["a", "b", "c"], engines));
        decisions = new Map();
        daemons.grant("drafts", "a");
        await daemons.clock.pass(2_000);
    });

    afterEach(() => daemons.close());

    function reserve(
        daemon: string,
        name: string,
        signal: AbortSignal = never,
        more: Parameters<typeof demand>[1] = {},
    ): void {
        void daemons.placement(daemon).reserve(demandOf(daemon, name, more), signal).then(decision =>
            decisions.set(name, decision)
        );
    }

    function end(daemon: string, name: string): void {
        daemons.placement(daemon).progress("drafts", { attempt: `${daemon}/i1/${name}`, stage: "finished", tokens: 9 });
    }

    function outcome(name: string): string | number {
        const decision = decisions.get(name);
        if (decision === undefined) {
            return "waits";
        }
        return decision.kind === "assigned" ? decision.fence : decision.refusal.code;
    }

    async function ask(daemon: string, name: string): Promise<void> {
        reserve(daemon, name);
        await daemons.clock.pass(200);
        const attempt = `${daemon}/i1/${name}`;
        daemons.placement(daemon).progress("drafts", { attempt, stage: "prefilled", tokens: 0 });
        await daemons.clock.pass(10);
    }

    it("asks the holder of the lease, and gives a slot out once", async () => {
        await ask("b", "one");
        await ask("c", "two");
        await ask("b", "three");
        expect([outcome("one"), outcome("two"), outcome("three")]).to.deep.equal([11, 11, "waits"]);
        end("c", "two");
        await daemons.clock.pass(100);
        expect(outcome("three")).to.equal(11);
    });

    // Guards against this: queued calls never reach an engine that has just been announced.
    it("gives what waits, here or from afar, to an engine that the view gains", async () => {
        await ask("b", "one");
        await ask("c", "two");
        reserve("a", "three");
        reserve("b", "four");
        await daemons.clock.pass(300);
        expect([outcome("three"), outcome("four")]).to.deep.equal(["waits", "waits"]);
        const gained = [engine("d2", "decode"), engine("p2", "prefill")];
        daemons.change(view => ({
            ...view,
            backends: { ...view.backends, ...Object.fromEntries(gained.map(one => [one.announcement.id, one])) },
        }));
        await rest();
        expect([outcome("three"), outcome("four")]).to.deep.equal([11, 11]);
        expect(daemons.placement("a").standing().get("drafts")!.held.get("d2")).to.equal(2);
    });

    // Guards against this: a third request on two slots after the scheduler moved.
    it("learns from all open sessions what is held before a new scheduler gives out slots", async () => {
        await ask("b", "one");
        await ask("c", "two");
        daemons.kill("a");
        daemons.closeSession("a");
        daemons.grant("drafts", "c");
        await daemons.clock.pass(100);
        await ask("b", "three");
        expect(outcome("three")).to.equal("waits");
        end("b", "one");
        await daemons.clock.pass(100);
        expect(outcome("three")).to.equal(13);
    });

    // Guards against this: demands hang until their deadline.
    it("chooses alone, within its part, when the scheduler goes silent while demands wait", async () => {
        await ask("b", "one");
        await ask("b", "two");
        await ask("c", "three");
        expect(outcome("three")).to.equal("waits");
        daemons.cut.add("a");
        await daemons.clock.pass(500);
        expect(outcome("three")).to.equal(0);
        daemons.cut.clear();
        await daemons.clock.pass(500);
        expect(daemons.placement("a").standing().get("drafts")!.waiting).to.equal(0);
    });

    // Guards against this: old demands go before new ones that could be on time.
    it("counts the time at the scheduler when it chooses alone", async () => {
        await ask("b", "one");
        await ask("c", "two");
        reserve("c", "three");
        reserve("c", "four");
        await daemons.clock.pass(10_000);
        expect([outcome("three"), outcome("four")]).to.deep.equal(["waits", "waits"]);
        daemons.cut.add("a");
        await daemons.clock.pass(500);
        expect([outcome("three"), outcome("four")]).to.deep.equal([0, "waits"]);
        await daemons.clock.pass(5_000);
        expect(outcome("four")).to.equal("poolFull");
    });

    // Guards against this: a slot is held for nobody.
    it("frees what was reserved for a caller who went between the reservation and its use", async () => {
        const caller = new AbortController();
        reserve("b", "one", caller.signal);
        caller.abort();
        await daemons.clock.pass(500);
        expect(outcome("one")).to.equal("callerGone");
        expect(daemons.placement("a").standing().get("drafts")!.held.get("d1")).to.equal(0);
    });

    // Guards against this: the queue fills with demands of a daemon that has died.
    it("takes the demands of a broken connection out of the queue, and frees slots with the session", async () => {
        await ask("b", "one");
        await ask("b", "two");
        await ask("b", "three");
        const standing = () => daemons.placement("a").standing().get("drafts")!;
        expect(standing().waiting).to.equal(1);
        daemons.kill("b");
        await rest();
        expect(standing().waiting).to.equal(0);
        daemons.closeSession("b");
        await rest();
        expect(standing().held.get("d1")).to.equal(0);
    });

    // Guards against this: a killed daemon's answer is decoded to its last token.
    it("cancels at the engines what a dead daemon left, and nothing of a live one", async () => {
        const report = { id: "d1", incarnation: 1, sequence: 5, active: ["b/i1/one", "c/i1/two"], queuedTokens: 0 };
        await ask("b", "one");
        await ask("c", "two");
        daemons.placement("c").load("drafts", report);
        daemons.kill("b");
        daemons.closeSession("b");
        daemons.closeSession("c");
        await daemons.clock.pass(4_000);
        expect([...new Set(daemons.cancelled)]).to.deep.equal(["b/i1/one"]);
    });

    // Guards against this: a stream is cut in the middle of a shutdown.
    it("cancels nothing of a daemon that drains after its session, for as long as it is reachable", async () => {
        const drive = async (seconds: number): Promise<void> => {
            for (const end = daemons.clock.monotonic() + 1_000 * seconds; daemons.clock.monotonic() < end;) {
                const active = ["c/i1/one"];
                const sequence = daemons.clock.monotonic();
                daemons.placement("a").load("drafts", { id: "d1", incarnation: 1, sequence, active, queuedTokens: 0 });
                await daemons.clock.pass(1_000);
            }
        };
        reserve("c", "one", new AbortController().signal, { deadlineWithin: 600_000 });
        await daemons.clock.pass(200);
        expect(outcome("one")).to.equal(11);
        daemons.closeSession("c");
        await drive(60);
        daemons.grant("drafts", "b");
        daemons.grant("drafts", "a");
        await drive(60);
        expect(daemons.cancelled).to.deep.equal([]);
        daemons.kill("c");
        await drive(4);
        expect([...new Set(daemons.cancelled)]).to.deep.equal(["c/i1/one"]);
    });

    // Guards against this: live requests are cancelled after a daemon's start.
    it("waits for a confirmed view before it takes an unknown owner for dead", async () => {
        const report = { id: "d1", incarnation: 1, sequence: 5, active: ["new/i1/one"], queuedTokens: 0 };
        daemons.placement("a").load("drafts", report);
        await daemons.clock.pass(2_500);
        expect(daemons.cancelled).to.deep.equal([]);
        await daemons.clock.pass(4_000);
        expect([...new Set(daemons.cancelled)]).to.deep.equal(["new/i1/one"]);
    });

    it("doesn't schedule by a view that isn't confirmed", async () => {
        daemons.controls.get("a")!.confirmed = false;
        await ask("b", "one");
        expect(outcome("one")).to.equal(0);
    });

    for (const alone of [false, true]) {
        // Guards against a slot that two attempts were given, one of them by a daemon that chose alone.
        it(`moves what was chosen ${alone ? "alone" : "by the scheduler"} to an engine with room once its own is full`, async () => {
            if (alone) {
                daemons.cut.add("a");
            }
            await ask("b", "one");
            await daemons.clock.pass(500);
            expect(outcome("one")).to.equal(alone ? 0 : 11);
            daemons.cut.clear();
            await daemons.clock.pass(500);
            daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode") } }));
            const moved = daemons.placement("b").move(holdingOf("b", "one", "prefilled"));
            await daemons.clock.pass(300);
            expect(await moved).to.equal("d2");
            const { held } = daemons.placement("a").standing().get("drafts")!;
            expect([...held]).to.deep.equal([["p1", 0], ["d1", 0], ["d2", 1]]);
            end("b", "one");
            await daemons.clock.pass(100);
            expect(daemons.placement("a").standing().get("drafts")!.held.get("d2")).to.equal(0);
        });
    }

    // Guards against a finished prefill that is given up since the scheduler is out of reach.
    it("moves an attempt alone where the scheduler is out of reach", async () => {
        await ask("b", "one");
        daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode") } }));
        daemons.cut.add("a");
        const moved = daemons.placement("b").move(holdingOf("b", "one", "prefilled"));
        await daemons.clock.pass(500);
        expect(await moved).to.equal("d2");
    });

    // Guards against a letter that is refused, or placed on a slot that is taken, though the scheduler is back.
    it("goes back to the scheduler with what waits alone once that answers again", async () => {
        daemons.cut.add("a");
        await daemons.clock.pass(500);
        reserve("b", "letter", never, { once: true });
        await daemons.clock.pass(1_000);
        expect(outcome("letter")).to.equal("waits");
        daemons.cut.clear();
        await daemons.clock.pass(500);
        expect(outcome("letter")).to.equal(11);
    });

    // Guards against a scheduler that was frozen and hands out what others took meanwhile.
    it("hands nothing out after a stall before it has taken in what others took", async () => {
        const taken = ["one", "two"].map(name => {
            return { kind: "taken", pool: "drafts", holding: holdingOf("b", name, "prefilling") } as const;
        });
        daemons.clock.freeze(400);
        reserve("a", "later");
        await rest();
        for (const word of taken) {
            await daemons.placement("a").handlePeer(word, { gone: never });
        }
        await daemons.clock.pass(300);
        expect(outcome("later")).to.equal("waits");
        end("b", "one");
        await daemons.clock.pass(300);
        expect(outcome("later")).to.equal(11);
    });

    // Guards against a letter that fails for good since engines don't list yet what the scheduler handed out last.
    it("places a letter alone only by loads that show what the scheduler had handed out", async () => {
        daemons.change(view => ({ ...view, backends: { ...view.backends, d2: engine("d2", "decode", { slots: 8 }) } }));
        const list = (active: readonly string[]): void => {
            for (const id of ["d1", "d2"]) {
                const sequence = daemons.clock.monotonic();
                const report = { id, incarnation: 1, sequence, active: [...active], queuedTokens: 0 };
                daemons.active.set(`http://127.0.0.1:1/${id}`, report);
            }
        };
        list([]);
        daemons.cut.add("a");
        reserve("b", "letter", never, { once: true });
        await daemons.clock.pass(500);
        list(["x1", "x2", "x3", "x4", "x5", "x6", "x7", "x8"]);
        await daemons.clock.pass(500);
        expect(outcome("letter")).to.equal("waits");
        list([]);
        reserve("c", "another letter", never, { once: true });
        await daemons.clock.pass(1_000);
        expect(outcome("another letter")).to.equal(0);
    });
});
