import { expect } from "chai";
import { EntryHarness, streamedText } from "./entryHarness.js";

describe("an entry daemon", () => {
    let harness: EntryHarness;

    beforeEach(async () => {
        harness = await EntryHarness.create();
    });

    afterEach(async () => {
        await harness.daemon.close();
    });

    it("answers a chat completion in one JSON body", async () => {
        const reply = await harness.chat();
        expect(reply.status).to.equal(200);
        expect(JSON.parse(reply.body).choices[0]).to.deep.include({
            message: { role: "assistant", content: "one two three four" },
            finish_reason: "stop",
        });
        expect(JSON.parse(reply.body).usage.completion_tokens).to.equal(4);
        expect(harness.allocatedAttempts()).to.equal(1); // The prefill result, which the engine evicts by itself.
    });

    it("streams a chat completion and marks its end", async () => {
        const reply = await harness.chat({ stream: true });
        expect(reply.headers["content-type"]).to.match(/^text\/event-stream/);
        expect(streamedText(reply)).to.equal("one two three four");
        expect(reply.body.endsWith("data: [DONE]\n\n")).to.equal(true);
        expect(reply.broken).to.equal(false);
    });

    it("answers a completion, and lists the models", async () => {
        const reply = await harness.send("/v1/completions", { model: "draft", prompt: "a dossier" });
        expect(JSON.parse(reply.body).choices[0].text).to.equal("one two three four");
        const models = await harness.get("/v1/models");
        expect(JSON.parse(models.body).data[0].id).to.equal("draft");
    });

    it("runs a request with a repeated key once and replays its answer", async () => {
        const headers = { "idempotency-key": "k1", "basilpaddle-non-idempotent": "true" };
        for (const stream of [false, true]) {
            const key = { ...headers, "idempotency-key": `k${stream}` };
            const first = await harness.chat({ stream }, key);
            const ranBefore = harness.engine("d1").ran.length;
            const second = await harness.chat({ stream }, key);
            expect(harness.engine("d1").ran.length).to.equal(ranBefore);
            expect(second.headers["basilpaddle-replayed"]).to.equal("true");
            expect(stream ? streamedText(second) : second.body).to.equal(stream ? streamedText(first) : first.body);
        }
    });

    it("handles the messages of backend servers", async () => {
        const send = async (message: object) => {
            const reply = await harness.send("/backends/v1/word", message, {}, harness.daemon.backendPort());
            return JSON.parse(reply.body).outcome;
        };
        const { announcement } = harness.engine("d1");
        expect(await send({ kind: "announce", announcement })).to.equal("accepted");
        expect(harness.control.renewals).to.deep.equal(["d1"]);
        expect(await send({ kind: "announce", announcement: { ...announcement, id: "d3" } })).to.equal("accepted");
        expect(harness.control.commands.map(command => command.kind)).to.deep.equal(["announceBackend"]);
        expect(await send({ kind: "renew", id: "d9", incarnation: 1 })).to.equal("announceAgain");
        const load = { id: "d1", incarnation: 1, sequence: 1, active: [] };
        expect(await send({ kind: "renew", id: "d1", incarnation: 1, load })).to.equal("accepted");
        expect(harness.placement.loads).to.have.length(1);
    });

    it("sends no request to a backend server that has announced its leave, even if the proposal isn't decided", async () => {
        // Failure: a leaving engine received requests for as long as the quorum was lost. The engine announces its leave,
        // the proposal stays undecided and the view still lists the engine as ready; the leave was known only through
        // the log.
        harness.control.lost.push("before");
        const leave = { kind: "leave", id: "d1", incarnation: 1 };
        const reply = await harness.send("/backends/v1/word", leave, {}, harness.daemon.backendPort());
        expect(JSON.parse(reply.body).outcome).to.equal("tryAgain");
        expect((await harness.chat()).status).to.equal(200);
        expect(harness.engine("d1").ran).to.deep.equal([]);
        expect(harness.engine("d2").ran).to.not.deep.equal([]);
    });

    it("refuses requests with the outcome not_run while its view isn't confirmed", async () => {
        harness.control.confirmed = false;
        const reply = await harness.chat();
        expect(reply.status).to.equal(503);
        expect(JSON.parse(reply.body).error).to.include({ code: "viewExpired", outcome: "not_run", retry_after: 1 });
        expect(reply.headers["retry-after"]).to.equal("1");
        expect(reply.headers["basilpaddle-outcome"]).to.equal("not_run");
        expect(harness.engine("p1").ran).to.deep.equal([]);
    });
});
