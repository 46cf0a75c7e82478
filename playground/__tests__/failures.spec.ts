import { expect } from "chai";
import { Caller, type ModelCall, pause, setUpLimit, until } from "../harness/index.js";
import { expectWhole, Load } from "./load.js";
import { call, model, Rig, secondModel, timing } from "./rig.js";

describe("a deployment of real processes under cuts and shutdowns", () => {
    let rig: Rig;
    before(async function() {
        this.timeout(setUpLimit);
        rig = await Rig.create(true);
    });
    after(() => rig?.close());
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            for (const daemon of rig.deployment.daemons()) {
                process.stderr.write(`${daemon.name}:\n${daemon.output().split("\n").slice(-12).join("\n")}\n`);
            }
            process.stderr.write(await rig.picture());
        }
        [...rig.deployment.relays.values()].flatMap(ways => [...ways.values()]).forEach(relay => relay.heal());
        await rig.mend();
    });

    async function expectServed(asked: number, prompt: string): Promise<void> {
        const asking = call(prompt);
        expectWhole(await rig.caller(asked).askUntilRun(asking), asking);
    }

    /** Starts streams at all entry daemons in turn; settles once each has given a token. */
    async function openStreams(calls: readonly ModelCall[]) {
        let begun = 0;
        const answers = calls.map((asking, index) => {
            let counted = false;
            return rig.caller(index % 3).ask(asking, () => {
                begun += counted ? 0 : 1;
                counted = true;
            });
        });
        await until("all streams to run", async () => begun === calls.length);
        return answers;
    }

    async function schedulerOf(asked: number) {
        const { view } = await rig.deployment.status(rig.entry(asked));
        return view.leases["scheduler/drafting"]?.holder.daemon;
    }

    it("starts nothing at an entry daemon that silence cuts off from all control daemons", async () => {
        // Guards against this: a landlord is served by a model that was withdrawn while a host was cut off.
        await rig.apply(0, [model, secondModel]);
        const cut = rig.entry(2);
        await expectServed(2, "before the cut");
        const ways = [...rig.deployment.relays.get(cut.name)!.values()];
        ways.forEach(relay => relay.silence());
        const revision = await rig.apply(0, [model], "withdraws the second model");
        const before = await rig.decodes();
        for (const asking of [call("cut off", { model: secondModel }), call("cut off as well")]) {
            const { status, error } = await rig.caller(2).ask(asking);
            expect(error, JSON.stringify(error)).to.include({ code: "viewExpired", outcome: "not_run" });
            expect(status).to.equal(503);
        }
        expect(await cut.isReady()).to.equal(false);
        expect(await rig.decodes()).to.equal(before);
        await expectServed(0, "elsewhere meanwhile");
        ways.forEach(relay => relay.heal());
        await expectServed(2, "after the healing");
        const withdrawn = await rig.caller(2).ask(call("withdrawn", { model: secondModel }));
        expect(withdrawn.error?.code).to.equal("unknownModel");
        await until("the healed daemon to have the change", async () => {
            const { sessions } = await rig.deployment.status(rig.entry(0));
            return sessions.some(session => session.daemon === cut.name && session.revision === revision);
        });
    });

    it("goes on at an entry daemon that is cut off from the leader alone", async () => {
        // Guards against this: a whole host stops serving though only one route is broken.
        const leader = await rig.deployment.leader();
        const cut = rig.entry(1);
        rig.deployment.relays.get(cut.name)!.get(leader.name)!.silence();
        // Longer than its lease from before the cut, shorter than the silence after which its session ends.
        await pause(timing.viewLease + timing.viewInterval);
        const asking = call("past the leader");
        expectWhole(await rig.caller(1).ask(asking), asking);
    });

    it("gives a final answer when a decode engine goes silent in the middle of a stream", async () => {
        // Guards against this: a caller waits for ever, or a decode slot stays held after the network is whole again.
        const { backend, relay } = await rig.addRelayedEngine("decode-3", "decode");
        await rig.deployment.backendsReady(["decode-3"]);
        const before = await rig.decodes();
        const load = new Load(rig);
        await until("a stream of decode-3", async () => {
            load.keepOpen(11);
            const gives = Object.values(await backend.ran()).some(({ tokens }) => tokens > 0);
            return gives && (await backend.held()).length > 0;
        });
        relay.silence();
        const answers = await load.answers();
        answers.forEach(({ asking, answer }) => expectWhole(answer, asking));
        // What was cut off in the middle has been decoded once more, elsewhere.
        expect(await rig.decodes() - before).to.be.greaterThan(answers.length);
        relay.heal();
        await until("decode-3 to hold nothing", async () => (await backend.held()).length === 0);
        backend.signal("SIGTERM");
        expect(await backend.end()).to.deep.equal({ code: 0, signal: undefined });
    });

    it("cuts nothing off when the entry daemon that schedules the pool shuts down under load", async () => {
        // Guards against this: streams break, or new requests fail, at a restart of one entry host.
        const holder = await until("a scheduler", () => schedulerOf(0));
        const index = rig.deployment.entries.findIndex(entry => entry.name === holder);
        const calls = Array.from({ length: 6 }, (_, at) => call(`held ${at}`, { stream: true, maxTokens: 90 }));
        const running = await openStreams(calls);
        rig.entry(index).signal("SIGTERM");
        const others = [0, 1, 2].filter(other => other !== index);
        const later = Array.from({ length: 6 }, (_, at) => call(`later ${at}`));
        const answers = await Promise.all(later.map((asking, at) => rig.caller(others[at % 2]!).askUntilRun(asking)));
        answers.forEach((answer, at) => expectWhole(answer, later[at]!));
        (await Promise.all(running)).forEach((answer, at) => expectWhole(answer, calls[at]!));
        expect(await rig.entry(index).end()).to.deep.equal({ code: 0, signal: undefined });
        await until("another scheduler", async () => {
            const next = await schedulerOf(others[0]!);
            return next !== undefined && next !== holder;
        });
    });

    it("cuts nothing off when the leading control daemon shuts down under load", async () => {
        // Guards against this: claim letters fail, or run twice, at a restart of a control host.
        const leader = await rig.deployment.leader();
        const calls = Array.from({ length: 6 }, (_, at) => {
            const key = at % 2 === 0 ? `kept-${at}` : undefined;
            return call(`kept ${at}`, { stream: true, maxTokens: 90, ...(key === undefined ? {} : { key }) });
        });
        const before = await rig.decodes();
        const running = await openStreams(calls);
        leader.signal("SIGTERM");
        const later = Array.from({ length: 6 }, (_, at) => call(`after ${at}`, { key: `after-${at}` }));
        const answers = await Promise.all(later.map((asking, at) => rig.caller(at % 3).askUntilRun(asking)));
        answers.forEach((answer, at) => expectWhole(answer, later[at]!));
        (await Promise.all(running)).forEach((answer, at) => expectWhole(answer, calls[at]!));
        expect(await rig.decodes() - before).to.equal(calls.length + later.length);
        expect(await leader.end()).to.deep.equal({ code: 0, signal: undefined });
        const rest = rig.deployment.controls.filter(control => control !== leader);
        expect(await rig.deployment.leader(rest)).not.to.equal(leader);
        const again = await rig.caller(1).askUntilRun(later[0]!);
        expect(again.replayed).to.equal(true);
        expect(again.text).to.equal(Caller.expected(later[0]!));
    });

    // Guards against letters that fail for good since daemons chose alone and their scheduler, back, handed out the same slots.
    it("loses no letter when the daemon that schedules the pool stands still while the control leader shuts down", async () => {
        for (let round = 0; round < 3; round++) {
            const leader = await rig.deployment.leader();
            const holder = await until("a scheduler", () => schedulerOf(0));
            const scheduling = rig.deployment.entries.find(entry => entry.name === holder)!;
            const calls = Array.from(
                { length: 6 },
                (_, at) => call(`open ${round} ${at}`, { stream: true, maxTokens: 90 }),
            );
            const running = await openStreams(calls);
            scheduling.signal("SIGSTOP");
            setTimeout(() => scheduling.signal("SIGCONT"), 200 + 150 * round);
            leader.signal("SIGTERM");
            const letters = Array.from({ length: 6 }, (_, at) => {
                const name = `letter ${round} ${at}`;
                return call(name, { key: name.replaceAll(" ", "-") });
            });
            const answers = await Promise.all(letters.map((asking, at) => rig.caller(at % 3).askUntilRun(asking)));
            answers.forEach((answer, at) => expectWhole(answer, letters[at]!));
            (await Promise.all(running)).forEach((answer, at) => expectWhole(answer, calls[at]!));
            await leader.end();
            await rig.mend();
        }
    });

    // Guards against letters that fail for good since daemons chose alone by loads older than the last slots handed out.
    it("loses no letter when the daemon that schedules the pool is killed while the control leader shuts down", async () => {
        for (let round = 0; round < 2; round++) {
            const leader = await rig.deployment.leader();
            const holder = await until("a scheduler", () => schedulerOf(0));
            const killed = rig.deployment.entries.findIndex(entry => entry.name === holder);
            const others = [0, 1, 2].filter(index => index !== killed);
            const calls = Array.from(
                { length: 6 },
                (_, at) => call(`running ${round} ${at}`, { stream: true, maxTokens: 90 }),
            );
            const running = await openStreams(calls);
            void rig.entry(killed).kill();
            leader.signal("SIGTERM");
            const letters = Array.from({ length: 6 }, (_, at) => {
                const name = `urgent ${round} ${at}`;
                return call(name, { key: name.replaceAll(" ", "-") });
            });
            const answers = await Promise.all(
                letters.map((asking, at) => rig.caller(others[at % 2]!).askUntilRun(asking)),
            );
            answers.forEach((answer, at) => expectWhole(answer, letters[at]!));
            const streams = (await Promise.all(running)).map((answer, at) => ({ answer, asking: calls[at]! }));
            streams.filter((_, at) => at % 3 !== killed).forEach(({ answer, asking }) => expectWhole(answer, asking));
            await leader.end();
            await rig.mend();
        }
    });
});
