import { expect } from "chai";
import { HttpEngine } from "../../../packages/basilpaddle/src/node/index.js";
import { answerTokens } from "../answer.js";
import { FakeEngine } from "../fakeEngine.js";
import { wait } from "../httpServer.js";

const models = [{ name: "draft", version: "1" }];
const fast = { pool: "drafting", models, promptTokenTime: 0.01, tokenTime: 1, linkRate: 1e12 };
const neverAborted = new AbortController().signal;

function generation(prompt: string) {
    return { model: "draft", prompt, maxTokens: 200, priority: 100, sampling: {} };
}

describe("fake engines behind HttpEngine", () => {
    let prefill: FakeEngine;
    let decode: FakeEngine;
    let prefillClient: HttpEngine;
    let decodeClient: HttpEngine;

    beforeEach(async () => {
        prefill = await FakeEngine.create({ ...fast, id: "prefill-1", role: "prefill" });
        decode = await FakeEngine.create({ ...fast, id: "decode-1", role: "decode", slots: 2 });
        prefillClient = HttpEngine.create(prefill.url);
        decodeClient = HttpEngine.create(decode.url);
    });

    afterEach(async () => {
        await prefillClient.close();
        await decodeClient.close();
        await prefill.close();
        await decode.close();
    });

    async function prepare(attempt: string, prompt: string): Promise<void> {
        const { handle } = (await prefillClient.prefill(attempt, generation(prompt), neverAborted)).unsafeCoerce();
        const source = { url: prefill.url, handle };
        (await decodeClient.import(attempt, source, generation(prompt), neverAborted)).unsafeCoerce();
    }

    async function read(attempt: string, offset: number, maxCount = Infinity): Promise<string[]> {
        const texts: string[] = [];
        for await (const line of decodeClient.decode(attempt, offset, neverAborted)) {
            const value = line.unsafeCoerce();
            if (value.kind === "token") {
                expect(value.offset).to.equal(offset + texts.length);
                texts.push(value.text);
            }
            if (texts.length >= maxCount) {
                break;
            }
        }
        return texts;
    }

    it("returns the complete answer to each prompt, and releases all slots and results afterwards", async () => {
        const prompts = ["the dossier of one tenant", "another dossier"];
        const answers = await Promise.all(prompts.map(async (prompt, index) => {
            await prepare(`a/${index}`, prompt);
            return await read(`a/${index}`, 0);
        }));
        expect(answers).to.deep.equal(prompts.map(prompt => answerTokens(prompt, 200)));
        expect(prefill.active()).to.deep.equal([]);
        expect(decode.active()).to.deep.equal([]);
        expect(prefill.attemptRecords.of("a/0").prefills).to.equal(1);
    });

    it("resumes a stream at its offset", async () => {
        const prompt = "a long dossier";
        await prepare("a", prompt);
        const first = await read("a", 0, 5);
        const rest = await read("a", first.length);
        expect([...first, ...rest]).to.deep.equal(answerTokens(prompt, 200));
    });

    it("refuses an import if no slot is free, with the proof that nothing was run", async () => {
        await prepare("a", "one");
        await prepare("b", "two");
        const { handle } = (await prefillClient.prefill("c", generation("three"), neverAborted)).unsafeCoerce();
        const refused = await decodeClient.import("c", { url: prefill.url, handle }, generation("three"), neverAborted);
        expect(refused.swap().unsafeCoerce()).to.include({ kind: "notRun", code: "full" });
        (await decodeClient.cancel("a", 1_000)).unsafeCoerce();
        expect(decode.active()).to.deep.equal(["b"]);
    });

    it("evicts a result that isn't fetched in time", async () => {
        const evicting = await FakeEngine.create({ ...fast, id: "prefill-2", role: "prefill", evictAfter: 1 });
        const client = HttpEngine.create(evicting.url);
        const { handle } = (await client.prefill("a", generation("one"), neverAborted)).unsafeCoerce();
        while (evicting.active().length > 0) {
            await wait(1);
        }
        const refused = await decodeClient.import("a", { url: evicting.url, handle }, generation("one"), neverAborted);
        expect(refused.swap().unsafeCoerce()).to.include({ kind: "notRun", code: "evicted" });
        expect(decode.active()).to.deep.equal([]);
        await client.close();
        await evicting.close();
    });

    it("reuses the cached part of a prompt", async () => {
        const prompt = "house preamble ".repeat(200);
        await prefillClient.prefill("a", generation(prompt), neverAborted);
        const repeated = (await prefillClient.prefill("b", generation(prompt), neverAborted)).unsafeCoerce();
        expect(repeated.reusedTokens).to.equal(Math.floor(prompt.length / 256) * 64);
    });
});
