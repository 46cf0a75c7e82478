import { expect } from "chai";
import { pause, setUpTimeoutMilliseconds } from "../harness/index.js";
import { call, Rig } from "./rig.js";

const crashingPrompt = "a prompt that no engine survives";
const extraEngines = ["decode-3", "decode-4", "decode-5", "decode-6", "decode-7"];
/** Milliseconds after the last crash within which every entry daemon must know of it. */
const crashPropagationMilliseconds = 3_000;

// Guards against a retried request that crashes up to three engines through each entry daemon instead of three in total.
describe("a prompt that crashes each engine that decodes it", function() {
    this.timeout(60_000);
    let rig: Rig;
    before(async function() {
        this.timeout(setUpTimeoutMilliseconds);
        rig = await Rig.create(false, { diesUnder: crashingPrompt });
        await Promise.all(extraEngines.map(id => rig.addEngine(id, "decode", { diesUnder: crashingPrompt })));
        await rig.deployment.waitForBackends(extraEngines, undefined, setUpTimeoutMilliseconds);
    });
    after(() => rig?.close());

    async function crashedCount(): Promise<number> {
        const engines = ["decode-1", "decode-2", ...extraEngines].map(id => rig.deployment.backends.get(id)!);
        const up = await Promise.all(engines.map(engine => engine.activeAttempts().then(() => true, () => false)));
        return up.filter(isUp => !isUp).length;
    }

    it("is refused by all entry daemons once three engines have crashed while running it", async () => {
        for (let entryIndex = 0; await crashedCount() < 3; entryIndex++) {
            await rig.caller(entryIndex % 3).requestCompletion(call(crashingPrompt));
        }
        await pause(crashPropagationMilliseconds);
        const before = await crashedCount();
        const answers = await Promise.all(
            [0, 1, 2].map(entryIndex => rig.caller(entryIndex).requestCompletion(call(crashingPrompt))),
        );
        expect(await crashedCount()).to.equal(before);
        expect(before).to.equal(3);
        expect(answers.map(({ status, error }) => [status, error?.outcome])).to.deep.equal(
            Array.from({ length: 3 }, () => [503, "not_run"]),
        );
        expect(answers.every(({ error }) => (error?.retry_after ?? 0) > 60)).to.equal(true);
        const other = await rig.caller(1).requestCompletionWithRetries(call("a prompt like any other"));
        expect(other.complete).to.equal(true);
    });
});
