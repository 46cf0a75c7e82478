import { expect } from "chai";
import type { Socket } from "node:net";
import { HttpEngine } from "../httpEngine.js";
import { RawTcpServer } from "./rawTcpServer.js";

const limits = { headBytes: 4_096, headTime: 200, framingBytes: 4_096, prefill: 10_000 };
const head = "HTTP/1.1 200 OK\r\n";
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;

/** Writes the beginning, and then the same bytes at an interval in milliseconds until the connection is closed. */
function writeOn(socket: Socket, begin: string, bytes: string, interval: number): void {
    socket.write(begin);
    const timer = setInterval(() => socket.write(bytes), interval);
    socket.once("close", () => clearInterval(timer));
}

// Guards against an engine whose head or chunk extension doesn't end: its calls waited until their time was over.
describe("an engine that sends", () => {
    for (
        const [title, bound, begin, bytes, interval] of [
            ["a head at one byte every 20 ms", "headTime", `${head}x: `, "x", 20],
            ["a status line without an end", "headBytes", "HTTP/1.1 200 ", "x".repeat(1_000), 2],
            ["empty lines without an end", "headBytes", "", "\r\n".repeat(500), 2],
            ["a chunk extension without an end", "framingBytes", `${chunkedHead}5;`, "x".repeat(1_000), 2],
        ] as const
    ) {
        it(`${title} fails with an unknown outcome, and its connection is closed`, async () => {
            const server = await RawTcpServer.create(({ socket }) => writeOn(socket, begin, bytes, interval));
            const engine = HttpEngine.create(server.url, limits);
            const startedAt = performance.now();
            const generation = { model: "m", prompt: [1], maxTokens: 1 } as never;
            const failure = (await engine.prefill("a", generation, new AbortController().signal)).swap().unsafeCoerce();
            expect([failure.kind, failure.message.includes(bound)]).to.deep.equal(["unknown", true]);
            expect(performance.now() - startedAt).to.be.below(3_000);
            await server.closings[0];
            await engine.close();
            await server.close();
        });
    }
});
