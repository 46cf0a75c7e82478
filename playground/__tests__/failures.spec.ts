import { expect } from "chai";
import { Caller, type ModelCall, pause, setUpTimeoutMilliseconds, until } from "../harness/index.js";
import { expectCompleteAnswer, StreamLoad } from "./load.js";
import { call, model, Rig, secondModel, timing } from "./rig.js";

type RelayedEngine = Awaited<ReturnType<Rig["addRelayedEngine"]>>;

describe("a deployment of real processes under network partitions and shutdowns", () => {
    let rig: Rig;
    before(async function() {
        this.timeout(setUpTimeoutMilliseconds);
        rig = await Rig.create(true);
    });
    after(() => rig?.close());
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            for (const daemon of rig.deployment.daemons()) {
                process.stderr.write(`${daemon.name}:\n${daemon.output().split("\n").slice(-12).join("\n")}\n`);
            }
            process.stderr.write(await rig.diagnostics());
        }
        [...rig.deployment.relays.values()].flatMap(links => [...links.values()]).forEach(relay => relay.heal());
        await rig.restartStopped();
    });

    async function expectServed(entryIndex: number, prompt: string): Promise<void> {
        const modelCall = call(prompt);
        expectCompleteAnswer(await rig.caller(entryIndex).requestCompletionWithRetries(modelCall), modelCall);
    }

    /** Starts streams at the entry daemons in turn; resolves once each stream has delivered a token. */
    async function openStreams(calls: readonly ModelCall[]) {
        let startedCount = 0;
        const answers = calls.map((modelCall, index) => {
            let counted = false;
            return rig.caller(index % 3).requestCompletion(modelCall, () => {
                startedCount += counted ? 0 : 1;
                counted = true;
            });
        });
        await until("all streams to run", async () => startedCount === calls.length);
        return answers;
    }

    /** Runs a test with one more decode engine behind a relay, and ends it, whatever the test's outcome. */
    async function withRelayedEngine(id: string, test: (engine: RelayedEngine) => Promise<void>): Promise<void> {
        const engine = await rig.addRelayedEngine(id, "decode");
        try {
            await rig.deployment.waitForBackends([id]);
            await test(engine);
        }
        finally {
            engine.relay.heal();
            engine.backend.signal("SIGTERM");
            await engine.backend.end();
        }
    }

    async function schedulerOf(entryIndex: number) {
        const { view } = await rig.deployment.status(rig.entry(entryIndex));
        return view.leases["scheduler/drafting"]?.holder.daemon;
    }

    it("starts no request at an entry daemon that is partitioned from all control daemons", async () => {
        // Guards against an entry daemon that serves a model which was withdrawn while its host was partitioned.
        await rig.apply(0, [model, secondModel]);
        const partitioned = rig.entry(2);
        await expectServed(2, "before the cut");
        const links = [...rig.deployment.relays.get(partitioned.name)!.values()];
        links.forEach(relay => relay.stallAll());
        const revision = await rig.apply(0, [model], "withdraws the second model");
        const before = await rig.decodeCount();
        for (const modelCall of [call("cut off", { model: secondModel }), call("cut off as well")]) {
            const { status, error } = await rig.caller(2).requestCompletion(modelCall);
            expect(error, JSON.stringify(error)).to.include({ code: "viewExpired", outcome: "not_run" });
            expect(status).to.equal(503);
        }
        expect(await partitioned.isReady()).to.equal(false);
        expect(await rig.decodeCount()).to.equal(before);
        await expectServed(0, "elsewhere meanwhile");
        links.forEach(relay => relay.heal());
        await expectServed(2, "after the healing");
        const withdrawn = await rig.caller(2).requestCompletion(call("withdrawn", { model: secondModel }));
        expect(withdrawn.error?.code).to.equal("unknownModel");
        await until("the reconnected daemon to apply the change", async () => {
            const { sessions } = await rig.deployment.status(rig.entry(0));
            return sessions.some(session => session.daemon === partitioned.name && session.revision === revision);
        });
    });

    it("keeps serving at an entry daemon that can't reach the leader but reaches the other control daemons", async () => {
        // Guards against a whole host that stops serving although only its network path to the leader is broken.
        const leader = await rig.deployment.leader();
        const partitioned = rig.entry(1);
        rig.deployment.relays.get(partitioned.name)!.get(leader.name)!.stallAll();
        // Longer than the view lease granted before the partition, shorter than the silence that ends its session.
        await pause(timing.viewLease + timing.viewInterval);
        const modelCall = call("past the leader");
        expectCompleteAnswer(await rig.caller(1).requestCompletion(modelCall), modelCall);
    });

    it("returns a final answer when a decode engine becomes unreachable in the middle of a stream", async () => {
        // Guards against a caller that waits forever, and a decode slot that stays allocated after the network has recovered.
        await withRelayedEngine("decode-3", async ({ backend, relay }) => {
            const before = await rig.decodeCount();
            const load = new StreamLoad(rig);
            await until("a stream of decode-3", async () => {
                load.keepOpen(11);
                const isStreaming = Object.values(await backend.attemptRecords()).some(({ tokens }) => tokens > 0);
                return isStreaming && (await backend.activeAttempts()).length > 0;
            });
            relay.stallAll();
            const answers = await load.answers();
            answers.forEach(({ modelCall, answer }) => expectCompleteAnswer(answer, modelCall));
            // The interrupted streams were decoded again on another engine.
            expect(await rig.decodeCount() - before).to.be.greaterThan(answers.length);
            relay.heal();
            await until(
                "decode-3 to have no active attempt",
                async () => (await backend.activeAttempts()).length === 0,
            );
            backend.signal("SIGTERM");
            expect(await backend.end()).to.deep.equal({ code: 0, signal: undefined });
        });
    });

    it("interrupts no request when the entry daemon that schedules the pool shuts down under load", async () => {
        // Guards against streams that break, or new requests that fail, when one entry host restarts.
        const holder = await until("a scheduler", () => schedulerOf(0));
        const index = rig.deployment.entries.findIndex(entry => entry.name === holder);
        const calls = Array.from({ length: 6 }, (_, at) => call(`held ${at}`, { stream: true, maxTokens: 90 }));
        const running = await openStreams(calls);
        rig.entry(index).signal("SIGTERM");
        const others = [0, 1, 2].filter(other => other !== index);
        const later = Array.from({ length: 6 }, (_, at) => call(`later ${at}`));
        const answers = await Promise.all(
            later.map((modelCall, at) => rig.caller(others[at % 2]!).requestCompletionWithRetries(modelCall)),
        );
        answers.forEach((answer, at) => expectCompleteAnswer(answer, later[at]!));
        (await Promise.all(running)).forEach((answer, at) => expectCompleteAnswer(answer, calls[at]!));
        expect(await rig.entry(index).end()).to.deep.equal({ code: 0, signal: undefined });
        await until("another scheduler", async () => {
            const next = await schedulerOf(others[0]!);
            return next !== undefined && next !== holder;
        });
    });

    it("interrupts no request when the leading control daemon shuts down under load", async () => {
        // Guards against non-idempotent requests that fail, or run twice, when a control host restarts.
        const leader = await rig.deployment.leader();
        const calls = Array.from({ length: 6 }, (_, at) => {
            const key = at % 2 === 0 ? `kept-${at}` : undefined;
            return call(`kept ${at}`, { stream: true, maxTokens: 90, ...(key === undefined ? {} : { key }) });
        });
        const before = await rig.decodeCount();
        const running = await openStreams(calls);
        leader.signal("SIGTERM");
        const later = Array.from({ length: 6 }, (_, at) => call(`after ${at}`, { key: `after-${at}` }));
        const answers = await Promise.all(
            later.map((modelCall, at) => rig.caller(at % 3).requestCompletionWithRetries(modelCall)),
        );
        answers.forEach((answer, at) => expectCompleteAnswer(answer, later[at]!));
        (await Promise.all(running)).forEach((answer, at) => expectCompleteAnswer(answer, calls[at]!));
        expect(await rig.decodeCount() - before).to.equal(calls.length + later.length);
        expect(await leader.end()).to.deep.equal({ code: 0, signal: undefined });
        const rest = rig.deployment.controls.filter(control => control !== leader);
        expect(await rig.deployment.leader(rest)).not.to.equal(leader);
        const again = await rig.caller(1).requestCompletionWithRetries(later[0]!);
        expect(again.replayed).to.equal(true);
        expect(again.text).to.equal(Caller.expected(later[0]!));
    });

    // Guards against non-idempotent requests that fail for good: daemons placed them locally while their scheduler was frozen,
    // and after it had resumed it assigned the same slots again.
    it("fails no non-idempotent request when the pool's scheduler is frozen while the control leader shuts down", async () => {
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
            const nonIdempotentCalls = Array.from({ length: 6 }, (_, at) => {
                const name = `letter ${round} ${at}`;
                return call(name, { key: name.replaceAll(" ", "-") });
            });
            const answers = await Promise.all(
                nonIdempotentCalls.map((modelCall, at) => rig.caller(at % 3).requestCompletionWithRetries(modelCall)),
            );
            answers.forEach((answer, at) => expectCompleteAnswer(answer, nonIdempotentCalls[at]!));
            (await Promise.all(running)).forEach((answer, at) => expectCompleteAnswer(answer, calls[at]!));
            await leader.end();
            await rig.restartStopped();
        }
    });

    // Guards against non-idempotent requests that fail for good: daemons placed them locally by loads that were older than the
    // slots last assigned.
    it("fails no non-idempotent request when the pool's scheduler is killed while the control leader shuts down", async () => {
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
            const nonIdempotentCalls = Array.from({ length: 6 }, (_, at) => {
                const name = `urgent ${round} ${at}`;
                return call(name, { key: name.replaceAll(" ", "-") });
            });
            const answers = await Promise.all(
                nonIdempotentCalls.map((modelCall, at) =>
                    rig.caller(others[at % 2]!).requestCompletionWithRetries(modelCall)
                ),
            );
            answers.forEach((answer, at) => expectCompleteAnswer(answer, nonIdempotentCalls[at]!));
            const streams = (await Promise.all(running)).map((answer, at) => ({ answer, modelCall: calls[at]! }));
            streams.filter((_, at) => at % 3 !== killed).forEach(({ answer, modelCall }) =>
                expectCompleteAnswer(answer, modelCall)
            );
            await leader.end();
            await rig.restartStopped();
        }
    });
});
