import { expect } from "chai";
import * as net from "node:net";
import { blockEventLoop } from "../../../../../../../playground/harness/wait.js";
import { until } from "../../../../../../../playground/harness/wait.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import type { ServerAnnouncement } from "../../../protocol/index.js";
import { createSilentLogger, SilentMetrics, SystemClock } from "../../../utils/index.js";
import { type BackendCall, BackendConnections } from "../../backends/index.js";
import { BackendSender, type ExchangeOptions, type SendResult } from "../backendSender.js";
import type { CallerRequest } from "../callerRequest.js";
import { LoopMonitor } from "../loopMonitor.js";
import { createRequest } from "./fakeRequest.js";

const service = { name: "pool", healthPath: "/health", connectionLimit: 10 };

describe("sending a request to a backend server", () => {
    let server: net.Server;
    let connections: BackendConnections;
    let calls: BackendCall[];
    let received: string;
    let stop: () => void;
    let instances: InstanceTable;
    let target: ServerAnnouncement;
    let options: { -readonly [Name in keyof ExchangeOptions]: ExchangeOptions[Name]; };
    let send: (request: CallerRequest) => Promise<SendResult>;

    beforeEach(async () => {
        calls = [];
        received = "";
        server = net.createServer(socket => {
            socket.on("data", chunk => {
                received += chunk.toString();
                if (chunk.toString().startsWith("GET /held")) {
                    return;
                }
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        connections = BackendConnections.create(createSilentLogger());
        const clock = SystemClock.create();
        const loop = LoopMonitor.create(clock);
        stop = loop.start();
        await new Promise(resolve => setTimeout(resolve, 60));
        target = announced({ id: "s", address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` });
        instances = InstanceTable.create();
        instances.apply(target);
        options = {
            wire: {
                systemHeaders: [],
                keyHeaders: [],
                runHeaders: () => ({}),
                parseAnswer: () => ({ sealed: true, notRun: false }),
            },
            paths: {
                call: (call: BackendCall) => {
                    calls.push(call);
                    return connections.call(call, 10, 1);
                },
            },
            instances,
            admission: { observeAnswer: () => undefined },
            metrics: SilentMetrics.create(),
            clock,
            gateways: () => 1,
            loop,
        } as unknown as typeof options;
        const signal = AbortSignal.timeout(5_000);
        send = request => {
            request.incoming.url = "/a";
            return BackendSender.create(options).send(request, target, service, {}, signal);
        };
    });

    afterEach(async () => {
        stop();
        await connections.close();
        server.close();
    });

    // Guards against a delay or a second call for requests of a gateway that doesn't lag.
    it("begins at once and calls once while the event loop doesn't lag", async () => {
        const sent = send(createRequest({}));
        expect(calls).to.have.length(1);
        expect((await sent).kind).to.equal("answer");
        expect(calls).to.have.length(1);
        expect(received.match(/^GET/gm)).to.have.length(1);
    });

    // Guards against a request that is sent because its connection was ready before the end of its caller's was read.
    it("sends nothing if the caller left while the event loop lagged and the connection was opened", async () => {
        const request = createRequest({});
        const sent = send(request);
        blockEventLoop(300);
        request.incoming.socket.destroy();
        expect(await sent).to.include({ kind: "notRun", lostOnPath: true });
        expect(received).to.equal("");
        expect(request.mayHaveRun()).to.equal(false);
    });

    it("sends a request whose caller stays, once, after the lag", async () => {
        const sent = send(createRequest({}));
        blockEventLoop(300);
        expect((await sent).kind).to.equal("answer");
        expect(calls).to.have.length(2);
        expect(received.match(/^GET/gm)).to.have.length(1);
    });

    // Guards against requests that wait in a gateway for a free connection to a server, and are sent there after it has said that it leaves.
    it("ends the wait for a connection to a server that leaves, or ends, and sends nothing", async () => {
        const later = { ...target, sequence: 2 };
        for (const end of [() => instances.apply({ ...later, state: "draining" }), () => instances.end(target.id)]) {
            const signal = AbortSignal.timeout(5_000);
            const held = { server: target, method: "GET", path: "/held", headers: [], body: undefined, signal };
            const holding = Array.from({ length: 9 }, () => connections.call(held, 10, 1));
            await until("all connections are taken", async () => received.match(/^GET/gm)?.length === 9);
            const sent = send(createRequest({}));
            await new Promise(resolve => setTimeout(resolve, 20));
            end();
            expect(await sent).to.include({ kind: "notRun", unreachable: true, lostOnPath: false });
            await connections.close();
            await Promise.all(holding);
            expect(received).not.to.contain("GET /a");
            connections = BackendConnections.create(createSilentLogger());
            received = "";
            instances = InstanceTable.create();
            instances.apply(target);
            options.instances = instances;
        }
    });

    // Guards against a charge for a request that was refused while it waited for a connection.
    it("knows that a request ended before its first byte hasn't run", async () => {
        const holder = new AbortController();
        const { signal } = holder;
        const held = { server: target, method: "GET", path: "/held", headers: [], body: undefined, signal };
        const holding = Array.from({ length: 9 }, () => connections.call(held, 10, 1));
        await until("all connections are taken", async () => received.match(/^GET/gm)?.length === 9);
        const request = createRequest({});
        const sent = BackendSender.create(options).send(request, target, service, {}, request.disconnected.signal);
        await new Promise(resolve => setTimeout(resolve, 20));
        request.endEarly(10, "the gateway shut down");
        holder.abort();
        await sent;
        expect(request.outcome()).to.include({ end: "refused" });
        expect(request.mayHaveRun()).to.equal(false);
        expect(received).not.to.contain("GET /a");
        await Promise.all(holding);
    });

    it("sends nothing if the time was over when the event loop had lagged", async () => {
        blockEventLoop(300);
        expect(await send(createRequest({ timeout: 1_000 }, undefined, 1_000))).to.include({
            kind: "notRun",
            unreachable: true,
        });
        expect(calls).to.have.length(0);
    });

    // Guards against a gateway that never sends anything while it is overloaded: each send waited for a short turn.
    it("sends a request although each turn of the event loop is slow", async function() {
        this.timeout(20_000);
        // Leaves an idle connection, which is examined for a turn before it is used again.
        await send(createRequest({}));
        const slowing = setInterval(() => blockEventLoop(300), 1);
        await new Promise(resolve => setTimeout(resolve, 1));
        const sent = await send(createRequest({}));
        clearInterval(slowing);
        expect(sent.kind).to.equal("answer");
        expect(calls.length).to.be.at.most(4);
    });
});
