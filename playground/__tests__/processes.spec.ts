import { expect } from "chai";
import { rm } from "node:fs/promises";
import { type Daemon, pause, setUpTimeoutMilliseconds, until } from "../harness/index.js";
import { expectCompleteAnswer, StreamLoad } from "./load.js";
import { call, model, Rig, secondModel, timing } from "./rig.js";

describe("a deployment of real processes", () => {
    let rig: Rig;
    before(async function() {
        this.timeout(setUpTimeoutMilliseconds);
        rig = await Rig.create();
    });
    after(() => rig?.close());
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            for (const daemon of rig.deployment.daemons()) {
                process.stderr.write(`${daemon.name}:\n${daemon.output().split("\n").slice(-12).join("\n")}\n`);
            }
            process.stderr.write(await rig.diagnostics());
        }
        await rig.restartStopped();
    });

    async function expectServed(entryIndex: number, prompt: string): Promise<void> {
        const modelCall = call(prompt);
        expectCompleteAnswer(await rig.caller(entryIndex).requestCompletionWithRetries(modelCall), modelCall);
    }

    it("serves complete and streamed answers, the right one to each caller, and plain services", async () => {
        const calls = Array.from(
            { length: 9 },
            (_, index) => call(`caller ${index} asks`, { stream: index % 2 === 0, chat: index % 3 === 0 }),
        );
        const answers = await Promise.all(
            calls.map((modelCall, index) => rig.caller(index % 3).requestCompletionWithRetries(modelCall)),
        );
        answers.forEach((answer, index) => expectCompleteAnswer(answer, calls[index]!));
        const lookup = await rig.caller(1).requestService("GET", "/policy/status/certificate-1");
        expect(lookup.status).to.equal(200);
        expect(lookup.body).to.deep.equal({ service: "policy-1", key: "certificate-1", runs: 0 });
    });

    it("sends no new work to a draining backend server and lets it finish its running requests", async () => {
        // Guards against a request that fails on an engine which the platform removes.
        const extra = await rig.addEngine("decode-3", "decode");
        await rig.deployment.waitForBackends(["decode-3"]);
        const load = new StreamLoad(rig);
        await until("work on decode-3", async () => {
            load.keepOpen(11);
            return Object.values(await extra.attemptRecords()).some(ran => ran.tokens > 0);
        });
        const at = rig.entry(1).operators;
        const drained = await rig.deployment.command("drain", "decode-3", "--operator", "tester", "--at", at);
        expect(drained.code, drained.output).to.equal(0);
        // Once the view lease has expired, no daemon may start work on a view without the drain mark. The engine itself
        // still accepts work, so that a wrong placement on it shows up.
        await pause(timing.viewLease);
        const attemptCount = Object.keys(await extra.attemptRecords()).length;
        const more = Array.from({ length: 9 }, (_, index) => call(`after leaving ${index}`));
        const answers = await Promise.all(
            more.map((modelCall, index) => rig.caller(index % 3).requestCompletionWithRetries(modelCall)),
        );
        answers.forEach((answer, index) => expectCompleteAnswer(answer, more[index]!));
        expect(Object.keys(await extra.attemptRecords()).length).to.equal(attemptCount);
        extra.signal("SIGTERM");
        for (const { modelCall, answer } of await load.answers()) {
            expectCompleteAnswer(answer, modelCall);
        }
        expect(await extra.end()).to.deep.equal({ code: 0, signal: undefined });
    });

    it("runs a non-idempotent request at most once when its entry daemon is killed", async () => {
        // Guards against a non-idempotent request that is run a second time after its entry daemon has died.
        const nonIdempotentCall = call("claim letter", {
            key: "letter-1",
            stream: true,
            maxTokens: 60,
        });
        const before = await rig.decodeCount();
        const firstToken = new Promise<void>(resolve => {
            void rig.caller(0).requestCompletion(nonIdempotentCall, () => resolve()).then(() => resolve());
        });
        await firstToken;
        await rig.entry(0).kill();
        const again = await rig.caller(1).requestCompletion(nonIdempotentCall);
        expect(again.error?.outcome, JSON.stringify(again)).to.equal("unknown");
        const third = await rig.caller(2).requestCompletion(nonIdempotentCall);
        expect(third.error?.outcome).to.equal("unknown");
        expect(await rig.decodeCount() - before).to.equal(1);
        await until("the engines to release the request", async () => {
            const engines = ["decode-1", "decode-2"].map(id => rig.deployment.backends.get(id)!);
            return (await Promise.all(engines.map(engine => engine.activeAttempts()))).every(attempts =>
                attempts.length === 0
            );
        });
    });

    it("starts no request on an expired view after a freeze", async () => {
        // Guards against a request that runs on a model which was withdrawn minutes ago, while its entry daemon was frozen.
        await rig.apply(0, [model, secondModel]);
        const frozen = rig.entry(2);
        // Their connections stay open, so that the requests below are buffered in them when the daemon resumes.
        await Promise.all([1, 2, 3].map(index => expectServed(2, `before the freeze ${index}`)));
        const before = await rig.decodeCount();
        frozen.signal("SIGSTOP");
        const revision = await rig.apply(0, [model], "withdraws the second model");
        const waiting = [1, 2, 3].map(index =>
            rig.caller(2).requestCompletion(call(`old ${index}`, { model: secondModel }))
        );
        await pause(50);
        frozen.signal("SIGCONT");
        for (const answer of await Promise.all(waiting)) {
            expect(answer.error?.outcome, JSON.stringify(answer)).to.equal("not_run");
            expect(answer.error?.code).to.be.oneOf(["viewExpired", "unknownModel"]);
        }
        expect(await rig.decodeCount()).to.equal(before);
        await until("the resumed daemon to apply the change", async () => {
            const { sessions } = await rig.deployment.status(rig.entry(0));
            return sessions.some(session => session.daemon === frozen.name && session.revision === revision);
        });
        await expectServed(2, "after the freeze");
    });

    it("interrupts no request on SIGTERM under load", async () => {
        const calls = Array.from({ length: 8 }, (_, index) => call(`load ${index}`, { stream: true, maxTokens: 80 }));
        const stopped = rig.entry(1);
        let started = 0;
        const running = calls.map(modelCall => {
            let counted = false;
            return rig.caller(1).requestCompletion(modelCall, () => {
                started += counted ? 0 : 1;
                counted = true;
            });
        });
        await until("all streams to run", async () => started === calls.length);
        stopped.signal("SIGTERM");
        await until("the daemon to report not ready", async () => !(await stopped.isReady()));
        const late = await rig.caller(1).requestCompletion(call("too late"));
        expect(late.complete).to.equal(false);
        expect(late.status === 0 || late.error?.outcome === "not_run", JSON.stringify(late)).to.equal(true);
        (await Promise.all(running)).forEach((answer, index) => expectCompleteAnswer(answer, calls[index]!));
        expect(await stopped.end()).to.deep.equal({ code: 0, signal: undefined });
    });

    it("ends sooner on a second SIGTERM and logs the requests that it interrupted", async () => {
        const modelCall = call("cut", { stream: true, maxTokens: 120 });
        const stopped = rig.entry(1);
        let firstToken = false;
        const running = rig.caller(1).requestCompletion(modelCall, () => {
            firstToken = true;
        });
        await until("the stream to run", async () => firstToken);
        stopped.signal("SIGTERM");
        await until("the daemon to report not ready", async () => !(await stopped.isReady()));
        stopped.signal("SIGTERM");
        expect(await stopped.end()).to.deep.equal({ code: 7, signal: undefined });
        const { error, complete } = await running;
        expect(complete).to.equal(false);
        expect(error?.outcome).to.equal("failed_after_starting");
        expect(stopped.output()).to.include(`"cut":["${error?.request_id}"]`);
    });

    it("makes engines load a model that a configuration change adds, and serves it", async () => {
        await rig.apply(0, [model, "draft-3"], "adds a model that no engine carries");
        const modelCall = call("a new model", { model: "draft-3" });
        const answer = await until("the new model to be served", async () => {
            const tried = await rig.caller(1).requestCompletionWithRetries(modelCall);
            return tried.complete && tried;
        });
        expectCompleteAnswer(answer, modelCall);
        const at = rig.entry(2).operators;
        const audit = await rig.deployment.command("audit", "--topic", "order", "--at", at, "--json");
        const { entries } = JSON.parse(audit.output) as { entries: { action: string; outcome: string; }[]; };
        const done = entries.filter(entry => entry.action.includes("load draft-3@1") && entry.outcome === "done");
        expect(done.length).to.be.greaterThan(1);
    });

    it("keeps serving after its leading control daemon is killed", async () => {
        const leader = await rig.deployment.leader();
        await leader.kill();
        const rest = rig.deployment.controls.filter(control => control !== leader);
        await expectServed(0, "right after the leader's death");
        const next = await rig.deployment.leader(rest);
        expect(next).not.to.equal(leader);
        const revision = await rig.apply(1, [model], "under the next leader");
        leader.start();
        await untilRevision(leader, revision);
    });

    async function untilRevision(daemon: Daemon, revision: number): Promise<void> {
        await until(`${daemon.name} to have revision ${revision}`, async () => {
            const answer = await fetch(`http://${daemon.operators}/operator/v1/status`);
            const { daemon: own } = await answer.json() as { daemon: { revision: number; }; };
            return own.revision === revision;
        });
    }

    it("keeps the accepted configuration when a disk is lost and, after its replacement, a second host fails", async () => {
        // Guards against the loss of an accepted configuration.
        const revision = await rig.apply(0, [model], "before the disk is lost");
        const [lost, second] = rig.deployment.controls as [Daemon, Daemon];
        const before = await rig.deployment.status(rig.entry(0));
        await lost.kill();
        await rm((lost.settings as { dataFolder: string; }).dataFolder, { recursive: true });
        lost.start();
        await until("a new voter in place of the lost one", async () => {
            const { leading, voters } = await rig.deployment.status(rig.entry(0));
            const own = voters.filter(voter => voter.startsWith(`${lost.name}#`));
            return leading && voters.length === 3 && own.length === 1 && !before.voters.includes(own[0]!);
        });
        await second.kill();
        const rest = rig.deployment.controls.filter(control => control !== second);
        await rig.deployment.leader(rest);
        const status = await rig.deployment.status(rig.entry(0));
        expect(status.revision).to.equal(revision);
        expect(await rig.apply(0, [model], "by the two that are left")).to.equal(revision + 1);
        await expectServed(0, "after two losses");
    });

    it("keeps its configuration and its run records across a power loss of all hosts", async () => {
        const nonIdempotentCall = call("kept letter", { key: "letter-2" });
        const first = await rig.caller(0).requestCompletionWithRetries(nonIdempotentCall);
        expectCompleteAnswer(first, nonIdempotentCall);
        const revision = await rig.apply(0, [model], "before the loss of power");
        await Promise.all(rig.deployment.daemons().map(daemon => daemon.kill()));
        rig.deployment.daemons().forEach(daemon => daemon.start());
        await Promise.all(rig.deployment.daemons().map(daemon => daemon.ready()));
        const status = await until("a leader", async () => {
            const found = await rig.deployment.status(rig.entry(1));
            return found.leading ? found : undefined;
        });
        expect(status.revision).to.equal(revision);
        const before = await rig.decodeCount();
        const again = await rig.caller(1).requestCompletionWithRetries(nonIdempotentCall);
        expectCompleteAnswer(again, nonIdempotentCall);
        expect(again.replayed).to.equal(true);
        expect(await rig.decodeCount()).to.equal(before);
        await expectServed(2, "after the loss of power");
    });
});
