import { expect } from "chai";
import { pause, setUpLimit } from "../harness/index.js";
import { call, Rig } from "./rig.js";

const deadly = "a prompt that no engine survives";
const moreEngines = ["decode-3", "decode-4", "decode-5", "decode-6", "decode-7"];
/** Milliseconds after the last crash in which each entry daemon must have learnt of it. */
const contactTime = 3_000;

// Guards against this: a request that comes again ends up to three engines at each entry daemon.
describe("a prompt that ends each engine that decodes it", function() {
    this.timeout(60_000);
    let rig: Rig;
    before(async function() {
        this.timeout(setUpLimit);
        rig = await Rig.create(false, { diesUnder: deadly });
        await Promise.all(moreEngines.map(id => rig.addEngine(id, "decode", { diesUnder: deadly })));
        await rig.deployment.backendsReady(moreEngines, undefined, setUpLimit);
    });
    after(() => rig?.close());

    async function ended(): Promise<number> {
        const engines = ["decode-1", "decode-2", ...moreEngines].map(id => rig.deployment.backends.get(id)!);
        const up = await Promise.all(engines.map(engine => engine.held().then(() => true, () => false)));
        return up.filter(isUp => !isUp).length;
    }

    it("is refused by all entry daemons once three have ended under it", async () => {
        for (let asked = 0; await ended() < 3; asked++) {
            await rig.caller(asked % 3).ask(call(deadly));
        }
        await pause(contactTime);
        const before = await ended();
        const answers = await Promise.all([0, 1, 2].map(asked => rig.caller(asked).ask(call(deadly))));
        expect(await ended()).to.equal(before);
        expect(before).to.equal(3);
        expect(answers.map(({ status, error }) => [status, error?.outcome])).to.deep.equal(
            Array.from({ length: 3 }, () => [503, "not_run"]),
        );
        expect(answers.every(({ error }) => (error?.retry_after ?? 0) > 60)).to.equal(true);
        const other = await rig.caller(1).askUntilRun(call("a prompt like any other"));
        expect(other.whole).to.equal(true);
    });
});
