import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { createSilentLogger } from "../../../utils/index.js";
import { createSilentGuard, createSilentRoom } from "../../__tests__/silentGuard.js";
import type { BodyRoom } from "../../listeners/index.js";
import { CallHandler, type CallResponse, CallServer } from "../callServer.js";
import type { DirectoryCall, DirectoryWire } from "../directoryWire.js";

/** Bytes that all bodies of one kind may hold together. */
const roomBytes = 100_000;
/** Parts of one byte each that one body has. */
const smallParts = 20_000;
/** Requests of one connection in progress. */
const requestsAhead = 4;

/** Stores bodies, each once `release` is called. */
class SlowStore extends CallHandler {
    readonly stored: string[] = [];
    release!: () => void;
    private readonly released = new Promise<void>(resolve => {
        this.release = resolve;
    });
    private started!: () => void;
    readonly hasStarted = new Promise<void>(resolve => {
        this.started = resolve;
    });

    override async handle(_call: DirectoryCall, body: string): Promise<CallResponse> {
        this.started();
        await this.released;
        this.stored.push(body);
        return { kind: "done" };
    }
}

describe("a directory's server for calls", () => {
    let handler: SlowStore;
    let server: CallServer;
    let port: number;
    let agent: http.Agent;
    let received: number;
    let rooms: { readonly documents: BodyRoom; readonly calls: BodyRoom; };

    beforeEach(async () => {
        received = 0;
        rooms = { documents: createSilentRoom(roomBytes), calls: createSilentRoom(roomBytes) };
        agent = new http.Agent({ keepAlive: true });
        handler = new SlowStore();
        port = await freePort();
        server = await CallServer.create({
            address: { host: "127.0.0.1", port },
            handler,
            wire: {
                parseCall: (_method: string, path: string) => {
                    received += 1;
                    return { kind: path === "/leave" ? "leave" : "storeConfiguration" };
                },
            } as unknown as DirectoryWire,
            guard: createSilentGuard({ requestsAhead }),
            rooms,
            logger: createSilentLogger(),
        });
    });

    afterEach(async () => {
        handler.release();
        agent.destroy();
        await server.close();
    });

    function open(path = "/"): { readonly request: http.ClientRequest; readonly status: Promise<number | string>; } {
        const request = http.request({ host: "127.0.0.1", port, path, method: "POST", agent });
        const status = new Promise<number | string>(resolve => {
            request.on("response", response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode ?? 0));
            });
            request.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code ?? "broken"));
        });
        return { request, status };
    }

    // Guards against bodies without their end that end the process, since each part of a byte is an object of its own.
    it("holds little more than its bytes for a body in parts of one byte", async () => {
        const { request, status } = open();
        for (let sent = 0; sent < smallParts; sent += 1) {
            request.write("x");
        }
        await until("the body has arrived", () => Promise.resolve(rooms.documents.bytes >= smallParts));
        expect(rooms.documents.bytes).to.be.lessThan(3 * smallParts);
        handler.release();
        request.end();
        expect(await status).to.equal(200);
        expect(handler.stored.map(({ length }) => length)).to.deep.equal([smallParts]);
    });

    // Guards against a crowd of bodies without their end that takes all memory, or keeps out those that are whole.
    it("lets the largest unfinished bodies give way, and goes on with others", async () => {
        handler.release();
        const crowd = Array.from({ length: 10 }, () => open());
        crowd.forEach(({ request }) => request.write("x".repeat(30_000)));
        expect(await Promise.race(crowd.map(({ status }) => status))).to.equal(503);
        const { request, status } = open();
        request.end("whole");
        const leave = open("/leave");
        leave.request.end("whole");
        expect([await status, await leave.status]).to.deep.equal([200, 200]);
        expect(rooms.documents.bytes).to.be.at.most(roomBytes);
        expect(rooms.calls.bytes).to.equal(0);
        crowd.forEach(member => member.request.destroy());
        await until("nothing is held any more", () => Promise.resolve(rooms.documents.bytes === 0));
    });

    // Guards against calls sent ahead, each of which is begun and has its answer kept.
    it("begins few calls of one connection before it has answered them", async () => {
        const socket = net.connect(port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(100));
        await handler.hasStarted;
        const other = open();
        other.request.end("other");
        await until("the other call has arrived", () => Promise.resolve(received > requestsAhead));
        expect(received).to.be.lessThan(3 * requestsAhead);
        handler.release();
        expect(await other.status).to.equal(200);
        socket.destroy();
    });

    // Guards against changes that are stored while their operator's connection is closed without an answer.
    it("answers a call that it has begun to carry out", async () => {
        const { request, status } = open();
        request.end("begun");
        await handler.hasStarted;
        const closed = server.close();
        handler.release();
        expect(await status).to.equal(200);
        expect(handler.stored).to.deep.equal(["begun"]);
        await closed;
    });

    // Guards against calls that are carried out too late to be answered, or get no answer though nothing was done.
    it("refuses a call whose body isn't whole, and doesn't carry it out", async () => {
        const begun = open();
        begun.request.end("begun");
        await handler.hasStarted;
        const partial = open();
        await new Promise<void>(resolve => partial.request.write("half", () => resolve()));
        await until("both calls have arrived", () => Promise.resolve(received === 2));
        const closed = server.close();
        expect(await partial.status).to.equal(503);
        handler.release();
        expect(await begun.status).to.equal(200);
        await closed;
        expect(handler.stored).to.deep.equal(["begun"]);
    });

    // Guards against a shutdown that a call keeps from ending.
    it("says that the outcome isn't known if a call takes too long", async () => {
        const { request, status } = open();
        request.end("begun");
        await handler.hasStarted;
        await server.close();
        expect(await status).to.equal(503);
    });
});

function freePort(): Promise<number> {
    return new Promise(resolve => {
        const probe = net.createServer().listen(0, "127.0.0.1", () => {
            const { port } = probe.address() as net.AddressInfo;
            probe.close(() => resolve(port));
        });
    });
}
