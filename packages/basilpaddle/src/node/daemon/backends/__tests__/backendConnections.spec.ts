import { expect } from "chai";
import * as net from "node:net";
import type { ServerAnnouncement } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { AnswerLimits, BackendConnections, isAnswer, readWholeBody, sendPreventedCode } from "../index.js";

/** Starts a server that reads a request and then calls `onRequest` with the connection. */
async function startServer(
    onRequest: (socket: net.Socket) => void,
): Promise<{ server: net.Server; announced: ServerAnnouncement; }> {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => onRequest(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const announced: ServerAnnouncement = {
        id: "i-1",
        service: "s",
        address: `127.0.0.1:${port}`,
        failureDomain: "a",
        slots: 1,
        state: "ready",
        sequence: 1,
    };
    return { server, announced };
}

async function receivedBody(onRequest: (socket: net.Socket) => void): Promise<string | undefined> {
    const { server, announced } = await startServer(onRequest);
    const connections = BackendConnections.create(createSilentLogger());
    const signal = AbortSignal.timeout(5_000);
    const call = { server: announced, method: "GET", path: "/", headers: [], body: undefined, signal };
    const bound = { server: announced, limits: AnswerLimits.createDefault(), bound: "bodyBytes" } as const;
    const answer = await connections.call(call, 10, 1);
    const body = isAnswer(answer) ? await readWholeBody(answer, bound) : undefined;
    await connections.close();
    server.close();
    return body?.toString();
}

describe("connections to backend servers", () => {
    // Guards against half an answer that reaches the caller as complete, with status 200. A server answers without a length, or
    // announces that the connection ends with the answer, and crashes midway, whereupon its host resets the connection. undici
    // treats a reset as the end of an answer whose connection would have been closed anyway.
    it("treat an answer without a length as incomplete if the connection is reset", async () => {
        const body = await receivedBody(socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nhalf of", () => setTimeout(() => socket.resetAndDestroy(), 20));
        });
        expect(body).to.equal(undefined);
    });

    it("treat a chunked answer as incomplete if the connection is reset before its last chunk", async () => {
        const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        const body = await receivedBody(socket => {
            socket.write(`${head}4\r\nhalf\r\n`, () => setTimeout(() => socket.resetAndDestroy(), 20));
        });
        expect(body).to.equal(undefined);
    });

    it("treat an answer without a length as complete if the connection ends regularly", async () => {
        const body = await receivedBody(socket => socket.end("HTTP/1.1 200 OK\r\n\r\nall of it"));
        expect(body).to.equal("all of it");
    });

    // Guards against an address that no URL can have, and whose error nobody awaits.
    it("report a server whose address is invalid as not reached", async () => {
        const { server, announced } = await startServer(() => undefined);
        const connections = BackendConnections.create(createSilentLogger());
        const invalid = { ...announced, address: "127.0.0.1:99999" };
        const signal = AbortSignal.timeout(5_000);
        const call = { server: invalid, method: "GET", path: "/", headers: [], body: undefined, signal };
        expect(await connections.call(call, 10, 1)).to.include({ kind: "notSent" });
        await connections.close();
        server.close();
    });

    it("distinguish a server that received nothing from one that may have run the request", async () => {
        const { server, announced } = await startServer(socket => socket.resetAndDestroy());
        const connections = BackendConnections.create(createSilentLogger());
        const signal = AbortSignal.timeout(5_000);
        const call = { server: announced, method: "POST", path: "/", headers: [], body: Buffer.from("x"), signal };
        expect(await connections.call(call, 10, 1)).to.include({ kind: "broken" });
        await new Promise<void>(resolve => server.close(() => resolve()));
        expect(await connections.call(call, 10, 1)).to.include({ kind: "notSent" });
        await connections.close();
    });

    // Guards against a request that is sent though the reason for it has gone while it waited for a connection, and against closing the
    // connection of each request that isn't sent.
    it("write nothing of a request that its sender prevents, and keep the connection", async () => {
        let received = "";
        let closed = 0;
        const server = net.createServer(socket => {
            socket.once("close", () => {
                closed += 1;
            });
            socket.on("data", chunk => {
                received += chunk.toString();
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const announced = { id: "i", address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` };
        const connections = BackendConnections.create(createSilentLogger());
        const call = (path: string, maySend: boolean): ReturnType<BackendConnections["call"]> =>
            connections.call(
                {
                    server: announced as ServerAnnouncement,
                    method: "POST",
                    path,
                    headers: [],
                    body: Buffer.from("x"),
                    signal: AbortSignal.timeout(5_000),
                    maySend: () => maySend,
                },
                1,
                1,
            );
        expect(await call("/prevented", false)).to.deep.equal({ kind: "notSent", cause: sendPreventedCode });
        expect(isAnswer(await call("/sent", true))).to.equal(true);
        expect(await call("/prevented", false)).to.deep.equal({ kind: "notSent", cause: sendPreventedCode });
        expect(isAnswer(await call("/sent", true))).to.equal(true);
        expect(received.match(/POST \/\w+/g)).to.deep.equal(["POST /sent", "POST /sent"]);
        expect(closed).to.equal(0);
        await connections.close();
        server.close();
    });
});
