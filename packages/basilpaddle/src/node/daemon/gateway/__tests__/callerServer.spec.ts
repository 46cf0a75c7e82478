import { expect } from "chai";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import * as net from "node:net";
import { createSilentLogger } from "../../../utils/index.js";
import { sendLate } from "../../__tests__/lateRequest.js";
import { createSilentGuard } from "../../__tests__/silentGuard.js";
import { endWhenSent, endWithConnection } from "../answerEnd.js";
import { CallerServer } from "../callerServer.js";

describe("the server of callers", () => {
    // Guards against a request that runs though its caller was told by 408 that it never will: its rest arrived after a pause.
    it("doesn't handle a request whose rest arrives after it was answered with 408", async () => {
        let handled = 0;
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: () => {
                handled += 1;
            },
            guard: createSilentGuard(),
            logger: createSilentLogger(),
        });
        server.setLimits({ headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 50, idleTimeout: 1_000 });
        expect(await sendLate(server.port())).to.match(/^HTTP\/1\.1 408 /);
        server.closeAll();
        expect(handled).to.equal(0);
    });

    // Guards against finished answers that a stopping gateway cuts because their callers read slowly.
    it("delivers what a slow reader hasn't taken yet after it has stopped listening", async () => {
        const body = Buffer.alloc(16_000_000);
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: (_incoming, response) => {
                response.writeHead(200, { "Content-Length": body.length });
                endWhenSent(response, body);
            },
            guard: createSilentGuard(),
            logger: createSilentLogger(),
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        await once(socket, "readable");
        server.stopListening();
        server.closeIdle();
        let received = 0;
        socket.on("data", (chunk: Buffer) => {
            received += chunk.length;
        });
        await once(socket, "end");
        expect(received).to.be.above(body.length);
        server.closeAll();
    });

    // Guards against the part of an answer without a length that looks whole, since a gateway at its end closes the connection regularly.
    it("resets the connection of an answer that would end with it when it closes", async () => {
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: (_incoming, response) => {
                endWithConnection(response);
                response.end(Buffer.alloc(16_000_000));
            },
            guard: createSilentGuard(),
            logger: createSilentLogger(),
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await once(socket, "readable");
        server.closeAll();
        socket.resume();
        const [error] = await once(socket, "error") as [NodeJS.ErrnoException];
        expect(error.code).to.equal("ECONNRESET");
    });

    // Guards against requests that were received before a stop and wait unparsed: the answer before them closes their connection.
    it("answers what a connection had sent ahead when it begins to close", async () => {
        const responses: ServerResponse[] = [];
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: (_incoming, response) => responses.push(response),
            guard: createSilentGuard({ requestsAhead: 2 }),
            logger: createSilentLogger(),
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        let received = "";
        socket.on("data", bytes => received += String(bytes));
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(20));
        while (responses.length === 0) {
            await new Promise(setImmediate);
        }
        server.closeAfterResponses();
        while (!socket.destroyed && received.split("200 OK").length <= 20) {
            responses.splice(0).forEach(response => response.end("ok"));
            await new Promise(setImmediate);
        }
        expect(received.match(/200 OK/g)).to.have.length(20);
        expect(received.match(/Connection: close/g)).to.have.length(1);
        server.closeAll();
    });

    // Guards against a request that was taken, and whose connection the answer to the one before it closes.
    it("answers each request that was read on a connection before it closes that", async () => {
        const responses: ServerResponse[] = [];
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: (_incoming, response) => responses.push(response),
            guard: createSilentGuard(),
            logger: createSilentLogger(),
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        const received: Buffer[] = [];
        socket.on("data", (chunk: Buffer) => received.push(chunk));
        const send = async (requests: number): Promise<void> => {
            const before = responses.length;
            socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(requests));
            while (responses.length < before + requests) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        await send(2);
        server.closeAfterResponses();
        await send(1);
        responses.forEach(response => response.end("x"));
        await once(socket, "close");
        const text = Buffer.concat(received).toString();
        expect(text.match(/HTTP\/1\.1 200 /g)).to.have.length(3);
        expect(text.match(/Connection: close/g)).to.have.length(1);
        server.closeAll();
    });

    // Guards against requests sent ahead that a gateway keeps for ever once their connection has closed.
    it("lets go of all requests of a connection that closes", async () => {
        let handled = 0;
        let closed = 0;
        const server = await CallerServer.create({
            address: { host: "127.0.0.1", port: 0 },
            handler: (_incoming, response) => {
                handled += 1;
                response.once("close", () => {
                    closed += 1;
                });
            },
            guard: createSilentGuard(),
            logger: createSilentLogger(),
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        socket.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(3));
        while (handled < 3) {
            await new Promise(setImmediate);
        }
        socket.destroy();
        await once(socket, "close");
        const end = performance.now() + 1_000;
        while (closed < 3 && performance.now() < end) {
            await new Promise(setImmediate);
        }
        const openRequests = server.openRequests();
        server.closeAll();
        expect({ closed, openRequests }).to.deep.equal({ closed: 3, openRequests: 0 });
    });
});
