import { expect } from "chai";
import { once } from "node:events";
import { createServer } from "node:net";
import { setImmediate } from "node:timers/promises";
import type { EngineFailure } from "../engine.js";
import type { EngineLimits } from "../engineLimits.js";
import { HttpEngine } from "../httpEngine.js";
import { answer, RawTcpServer, type ServedRequest } from "./rawTcpServer.js";

const generation = { model: "m", prompt: "p", maxTokens: 5, priority: 100, sampling: {} };
const neverAborted = new AbortController().signal;
const prefilled = { handle: "h", promptTokens: 1, reusedTokens: 0, bytes: 1 };
const refusal = { notRun: true, code: "full", message: "no slot" };

describe("a call to an engine", () => {
    let server: RawTcpServer | undefined;
    let engine: HttpEngine;

    async function startServer(
        handleRequest: (request: ServedRequest) => void,
        limits: Partial<EngineLimits> = {},
    ): Promise<void> {
        server = await RawTcpServer.create(handleRequest);
        engine = HttpEngine.create(server.url, limits);
    }

    async function failureOfPrefill(signal = neverAborted): Promise<EngineFailure> {
        return (await engine.prefill("a", generation, signal)).swap().unsafeCoerce();
    }

    afterEach(async () => {
        await engine.close();
        await server?.close();
        server = undefined;
    });

    it("to a port without a listener is not run", async () => {
        const listener = createServer().listen(0, "127.0.0.1");
        await once(listener, "listening");
        engine = HttpEngine.create(`http://127.0.0.1:${(listener.address() as { port: number; }).port}`);
        listener.close();
        await once(listener, "close");
        expect((await failureOfPrefill()).kind).to.equal("notRun");
    });

    it("that is reset after it was sent has an unknown outcome, and isn't resent", async () => {
        // Guards against running a request twice: it arrives and runs, the engine's process dies and the connection is reset,
        // then the request is run on another engine. A reset was treated as "not run", or the client library resent the
        // request by itself.
        await startServer(({ socket }) => socket.resetAndDestroy());
        expect((await failureOfPrefill()).kind).to.equal("unknown");
        expect(server!.requests).to.equal(1);
    });

    it("that is reset during its answer has an unknown outcome", async () => {
        await startServer(({ socket }) => {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"handle\"", () => socket.resetAndDestroy());
        });
        expect((await failureOfPrefill()).kind).to.equal("unknown");
    });

    it("whose answer is truncated has an unknown outcome, even if the received part is a valid refusal", async () => {
        await startServer(({ socket }) => {
            const text = JSON.stringify(refusal);
            socket.end(`HTTP/1.1 503 X\r\ncontent-length: ${text.length + 1}\r\n\r\n${text}`);
        });
        expect((await failureOfPrefill()).kind).to.equal("unknown");
    });

    it("on a reused connection that closes has an unknown outcome, and isn't resent", async () => {
        // Guards against running a request twice, as above: after a first answer the connection is kept alive, the engine
        // closes it while the next request is in flight, and the client assumes that the request never arrived.
        await startServer(({ socket, request }) => {
            if (request === 1) {
                socket.write(answer(200, prefilled));
                return;
            }
            socket.resetAndDestroy();
        });
        (await engine.prefill("first", generation, neverAborted)).unsafeCoerce();
        // A connection can be reused one turn of the event loop after the end of its answer.
        await setImmediate();
        expect((await failureOfPrefill()).kind).to.equal("unknown");
        expect(server!.requests).to.equal(2);
        expect(server!.connections).to.equal(1);
    });

    it("uses a new connection if the last one was idle for longer than its limit", async () => {
        await startServer(({ socket }) => socket.write(answer(200, prefilled)), { keepAlive: 10 });
        (await engine.prefill("first", generation, neverAborted)).unsafeCoerce();
        await server!.closings[0];
        (await engine.prefill("second", generation, neverAborted)).unsafeCoerce();
        expect(server!.connections).to.equal(2);
    });

    it("isn't pipelined behind another one on the same connection", async () => {
        const received: ServedRequest[] = [];
        await startServer(served => {
            received.push(served);
            if (received.length === 3) {
                received.forEach(({ socket }) => socket.write(answer(200, prefilled)));
            }
        });
        const answers = await Promise.all(["a", "b", "c"].map(name => engine.prefill(name, generation, neverAborted)));
        expect(answers.every(result => result.isRight())).to.equal(true);
        expect(server!.connections).to.equal(3);
    });

    for (
        const [status, body, kind] of [
            [503, refusal, "notRun"],
            [409, refusal, "notRun"],
            [429, refusal, "notRun"],
            [503, "busy", "unknown"],
            [503, { ...refusal, notRun: false }, "unknown"],
            [502, refusal, "unknown"],
            [504, "", "unknown"],
            [500, refusal, "failed"],
            [400, "no", "failed"],
            [200, refusal, "unknown"],
            [200, "{ not JSON", "unknown"],
            [302, "", "unknown"],
        ] as const
    ) {
        it(`answered with ${status} ${JSON.stringify(body)} is ${kind}`, async () => {
            await startServer(({ socket }) => socket.write(answer(status, body)));
            expect((await failureOfPrefill()).kind).to.equal(kind);
        });
    }

    it("without an answer times out with an unknown outcome", async () => {
        await startServer(() => {}, { prefill: 30 });
        expect((await failureOfPrefill()).kind).to.equal("unknown");
        expect((await engine.state(30)).swap().unsafeCoerce().kind).to.equal("unknown");
    });

    it("that the caller cancels is not run if it wasn't sent, and has an unknown outcome otherwise", async () => {
        const caller = new AbortController();
        await startServer(() => caller.abort());
        expect((await failureOfPrefill(AbortSignal.abort())).kind).to.equal("notRun");
        expect(server!.requests).to.equal(0);
        expect((await failureOfPrefill(caller.signal)).kind).to.equal("unknown");
    });

    it("whose answer doesn't end is aborted at the size limit", async () => {
        await startServer(({ socket }) => {
            const writeMore = () => socket.write("x".repeat(1_000), error => error ? undefined : writeMore());
            socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", writeMore);
        }, { answerBytes: 5_000 });
        expect((await failureOfPrefill()).kind).to.equal("unknown");
    });
});
