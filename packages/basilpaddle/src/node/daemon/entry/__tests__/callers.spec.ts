import { expect } from "chai";
import * as net from "node:net";
import { type Stage } from "../../../../../../../simulation/requests/fakes.js";
import { until } from "../../../../../../../simulation/until.js";
import { chatBody, EntryHarness, replyOf, streamedText } from "./entryHarness.js";

/** Sends bytes over a TCP connection and returns everything received until it closes. */
function sendRaw(port: number, bytes: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const socket = net.connect({ host: "127.0.0.1", port }, () => socket.write(bytes));
        let received = "";
        socket.setEncoding("utf8").on("data", (chunk: string) => {
            received += chunk;
        });
        socket.on("error", reject);
        socket.on("close", () => resolve(received));
    });
}

describe("callers of an entry daemon", () => {
    let harness: EntryHarness;

    beforeEach(async () => {
        harness = await EntryHarness.create({
            bodyBytes: 100_000,
            receiveTimeout: 300,
            stalledReader: 200,
            waitingBytes: 65_536,
        });
    });

    afterEach(async () => {
        await harness.daemon.close();
    });

    /** Reservations and decode attempts that are still held; engines evict prefill results by themselves. */
    function allocatedDecodes(): number {
        return harness.engine("d1").attemptsHoldingResources.size + harness.engine("d2").attemptsHoldingResources.size
            + harness.placement.reserved.size;
    }

    async function disconnectAt(onReached: (proceed: () => void) => void, headers: object = {}): Promise<void> {
        const request = harness.open("/v1/chat/completions", { ...headers });
        request.on("error", () => undefined);
        request.on("response", response => response.on("error", () => undefined).resume());
        const reached = new Promise<void>(onReached);
        request.end(JSON.stringify(chatBody({ stream: true })));
        await reached;
        request.destroy();
        await until("request ended", () => harness.daemon.openRequests() === 0);
        await until("everything freed", () => allocatedDecodes() === 0);
    }

    it("leave nothing held when they disconnect while queued", async () => {
        // Failure: a slot stayed reserved for a caller that had disconnected while its request was queued, since the
        // queue wasn't notified.
        await disconnectAt(proceed => {
            harness.placement.queue = signal => {
                proceed();
                return new Promise(resolve => signal.addEventListener("abort", () => resolve()));
            };
        });
        expect(harness.engine("p1").ran).to.deep.equal([]);
    });

    for (const stage of ["prefill", "import", "decode"] as const satisfies readonly Stage[]) {
        it(`leave nothing held when they disconnect during ${stage} and the first cancel is lost`, async () => {
            // Failure: decode memory stayed held for a caller that had disconnected during this stage. The engine keeps
            // running and the cancel is lost, and the cancel was sent only once.
            const engine = harness.engine(stage === "prefill" ? "p1" : "d1");
            engine.faults[stage].push("hang");
            engine.lostCancels = 1;
            await disconnectAt(proceed => {
                engine.onStageBegun = begun => begun === stage && proceed();
            });
            await until("engine freed", () => engine.attemptsHoldingResources.size === 0);
            expect(engine.cancels).to.be.at.least(2);
        });
    }

    it("that stop reading are cancelled, and reading from the engine is paused meanwhile", async () => {
        // Failure: the daemon's memory grew and an engine stayed busy for a caller that keeps its connection open but
        // stops reading, since tokens were buffered without a limit.
        const engine = harness.engine("d1");
        engine.tokens = Array.from({ length: 4_000 }, () => "x".repeat(4_000));
        let sent = 0;
        engine.beforeToken = async () => {
            sent++;
            await new Promise(resolve => setImmediate(resolve));
        };
        const request = harness.open("/v1/chat/completions", {});
        request.on("error", () => undefined);
        request.on("response", response => response.pause());
        request.end(JSON.stringify(chatBody({ stream: true })));
        await until("cancelled", () => engine.cancels > 0 && allocatedDecodes() === 0);
        expect(sent).to.be.below(4_000);
        request.destroy();
    });

    it("can tell a truncated stream from a complete one", async () => {
        // Failure: half an answer was taken for a complete one. The engine fails after tokens were sent, and the stream
        // was ended as if it were complete.
        harness.engine("d1").faults.decode.push("cut", "fail");
        const reply = await harness.chat({ stream: true }, {
            "idempotency-key": "k",
            "basilpaddle-non-idempotent": "true",
        });
        expect(streamedText(reply)).to.equal("one two");
        expect(reply.body).to.match(/event: error\ndata: \{"error":\{"code":"backendFailed"/);
        expect(reply.body).to.not.contain("[DONE]");
        expect(reply.broken).to.equal(true);
    });

    it("can't block a drain by not reading a complete answer", async () => {
        // Failure: a daemon never finished its shutdown. An answer is written completely, its caller keeps the connection
        // open and doesn't read; the timeout applied only to answers that were still being generated.
        harness.engine("d1").tokens = Array.from({ length: 5 }, () => "x".repeat(4_000_000));
        const request = harness.open("/v1/chat/completions", {});
        request.on("error", () => undefined);
        request.on("response", response => response.on("error", () => undefined).pause());
        request.end(JSON.stringify(chatBody()));
        await until("decoded", () => harness.placement.progressReports.some(progress => progress.stage === "finished"));
        expect(harness.daemon.openRequests()).to.equal(1);
        await harness.daemon.close();
        expect(harness.daemon.openRequests()).to.equal(0);
    });

    it("get a final answer when their deadline expires", async () => {
        harness.engine("p1").faults.prefill.push("hang");
        const reply = await harness.chat({}, { "basilpaddle-deadline-ms": "50" });
        expect(reply.status).to.equal(504);
        expect(JSON.parse(reply.body).error).to.include({ code: "deadlineExceeded", outcome: "unknown" });
    });

    it("can't override a route that is marked as non-idempotent", async () => {
        const headers = { "basilpaddle-organisation": "letters", "basilpaddle-non-idempotent": "false" };
        const reply = await harness.chat({}, headers);
        expect(reply.status).to.equal(400);
        expect(JSON.parse(reply.body).error).to.include({ code: "keyMissing", outcome: "not_run" });
    });

    const key = { "idempotency-key": "k" };
    const refusedRequests: readonly [string, string, unknown, object, number, string][] = [
        ["a body that isn't JSON", "/v1/chat/completions", "{", {}, 400, "malformedBody"],
        ["a body that isn't UTF-8", "/v1/chat/completions", Buffer.from([0x22, 0xff, 0x22]), {}, 400, "malformedBody"],
        ["an empty body", "/v1/chat/completions", "", {}, 400, "malformedBody"],
        ["a body of the wrong type", "/v1/completions", "[]", {}, 400, "badRequest"],
        ["a field of the wrong type", "/v1/completions", { model: "draft", prompt: 3 }, {}, 400, "badRequest"],
        ["more than one choice", "/v1/completions", { model: "draft", prompt: "", n: 2 }, {}, 400, "badRequest"],
        ["an unknown model", "/v1/completions", { model: "none", prompt: "" }, {}, 404, "unknownModel"],
        ["an unknown adapter", "/v1/completions", { model: "draft:a", prompt: "" }, {}, 404, "unknownModel"],
        ["an unknown path", "/v2", {}, {}, 404, "unknownRoute"],
        ["a wrong method", "/v1/models", {}, {}, 405, "methodNotAllowed"],
        ["a body that is too large", "/v1/completions", "x".repeat(3_000_000), {}, 413, "bodyTooLarge"],
        ["a deadline of zero", "/v1/completions", {}, { "basilpaddle-deadline-ms": "0" }, 400, "badRequest"],
        [
            "an organisation that isn't a name",
            "/v1/completions",
            {},
            { "basilpaddle-organisation": "a/b" },
            400,
            "badRequest",
        ],
        ["a key given twice", "/v1/completions", {}, { "idempotency-key": ["a", "b"] }, 400, "badRequest"],
        [
            "an invalid non-idempotent header",
            "/v1/completions",
            {},
            { "basilpaddle-non-idempotent": "maybe", ...key },
            400,
            "badRequest",
        ],
        [
            "headers that are too large",
            "/v1/completions",
            {},
            { "x-large": "x".repeat(20_000) },
            431,
            "headersTooLarge",
        ],
    ];
    for (const [name, path, body, headers, status, code] of refusedRequests) {
        it(`get a specific refusal of ${name}, and the daemon keeps working`, async () => {
            const request = harness.open(path, headers as Record<string, string>);
            const reply = replyOf(request);
            request.end(Buffer.isBuffer(body) || typeof body === "string" ? body : JSON.stringify(body));
            const { status: replyStatus, body: text, headers: replyHeaders } = await reply;
            expect(replyStatus).to.equal(status);
            expect(JSON.parse(text).error).to.include({ code, outcome: "not_run" });
            expect(replyHeaders["basilpaddle-outcome"]).to.equal("not_run");
            expect((await harness.chat()).status).to.equal(200);
        });
    }

    it("that send slowly, never complete a request or send malformed HTTP are refused", async () => {
        const port = harness.daemon.callerPort();
        const head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n";
        const cases: readonly [string, string][] = [
            [`${head}content-length: 10\r\n\r\n{`, "requestTimeout"],
            [`${head}transfer-encoding: chunked\r\n\r\n5\r\n{`, "requestTimeout"],
            [`${head}transfer-encoding: chunked\r\n\r\nzz\r\n{`, "HTTP/1.1 400"],
            [`${head}transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n`, "HTTP/1.1 400"],
            ["\u0001\u0002\u0003\r\n\r\n", "badRequest"],
            ["POST /v1/completions HTTP/1.1\r\nhost: a", "requestTimeout"],
        ];
        const answers = await Promise.all(cases.map(([bytes]) => sendRaw(port, bytes)));
        cases.forEach(([bytes, expected], index) => expect(answers[index], bytes).to.contain(expected));
        expect((await harness.chat()).status).to.equal(200);
        expect(harness.daemon.openRequests()).to.equal(0);
    });
});
