import { expect } from "chai";
import * as fc from "fast-check";
import { once } from "node:events";
import * as net from "node:net";
import { Worker } from "node:worker_threads";
import { blockEventLoop } from "../../../../../../playground/harness/wait.js";
import { createSilentLogger } from "../../utils/index.js";
import { encodeFrame, FrameReader, readFrame } from "../frame.js";
import type { LinkFailure } from "../link.js";
import { connectTimeoutMilliseconds, TcpNetwork } from "../tcpLink.js";
import { TcpServer } from "../tcpServer.js";

const logger = createSilentLogger();

describe("frames", () => {
    it("are decoded from any division of the bytes into chunks", () => {
        const bytes = Buffer.concat([encodeFrame({ a: 1 }), encodeFrame("two"), encodeFrame([3])]);
        for (let size = 1; size <= bytes.length; size++) {
            const reader = FrameReader.create();
            const values: unknown[] = [];
            for (let start = 0; start < bytes.length; start += size) {
                values.push(...reader.push(bytes.subarray(start, start + size)));
            }
            expect(values).to.deep.equal([{ a: 1 }, "two", [3]]);
        }
    });

    // Guards against a frame in parts of one byte that takes a hundred times its bytes.
    it("hold little more than their bytes while they aren't whole, however small the parts are", () => {
        const reader = FrameReader.create();
        reader.push(Buffer.from([0x00, 0x10, 0x00, 0x00]));
        for (let part = 0; part < 100_000; part++) {
            reader.push(Buffer.from([part % 256]));
        }
        expect(reader.heldBytes).to.be.within(100_000, 250_000);
    });

    // Guards against a listener for short requests that waits for, and keeps, frames of any length.
    it("over the limit that their reader states aren't waited for", async () => {
        const server = net.createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        const [accepted] = await once(server, "connection") as [net.Socket];
        socket.write(Buffer.from([0, 0, 0x10, 0x01]));
        expect(await readFrame(accepted, 4_096)).to.equal(undefined);
        expect(accepted.destroyed).to.equal(false);
        socket.destroy();
        server.close();
    });

    it("over the limit are refused before their body arrives", () => {
        expect(() => FrameReader.create().push(Buffer.from([0xff, 0xff, 0xff, 0xff]))).to.throw(RangeError);
    });
});

/** Time after which the operating system retransmits the first packet of a connection. */
const systemRetryMilliseconds = 1_000;

/** A listener that accepts no connections until it is released: once its queue is full, the operating system drops new ones. */
class StalledListener {
    private constructor(
        private readonly worker: Worker,
        private readonly released: Int32Array,
        readonly port: number,
    ) {}

    static async create(): Promise<StalledListener> {
        const released = new Int32Array(new SharedArrayBuffer(4));
        const worker = new Worker(
            `
            const { parentPort, workerData } = require("node:worker_threads");
            const server = require("node:net").createServer(socket => socket.resume());
            server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
                parentPort.postMessage(server.address().port);
                setImmediate(() => Atomics.wait(workerData, 0, 0));
            });
            `,
            { eval: true, workerData: released },
        );
        const [port] = await once(worker, "message") as [number];
        return new StalledListener(worker, released, port);
    }

    /** Fills the queue of the listener; returns the waiting connections. */
    async fill(): Promise<net.Socket[]> {
        const sockets = Array.from({ length: 8 }, () => net.connect({ host: "127.0.0.1", port: this.port }));
        await once(sockets[0]!, "connect");
        await new Promise(resolve => setTimeout(resolve, 50));
        return sockets;
    }

    release(): void {
        Atomics.store(this.released, 0, 1);
        Atomics.notify(this.released, 0);
    }

    async close(): Promise<void> {
        this.release();
        await this.worker.terminate();
    }
}

describe("a listener for other daemons", () => {
    let server: TcpServer;
    let sockets: net.Socket[];

    function connect(): net.Socket {
        const socket = net.connect(server.port(), "127.0.0.1");
        socket.on("error", () => undefined);
        sockets.push(socket);
        return socket;
    }

    async function isAnswered(): Promise<boolean> {
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: server.port() });
        const answer = await link.request("x", 5_000);
        link.close();
        return answer.isRight();
    }

    beforeEach(() => {
        sockets = [];
    });

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await server.close();
    });

    // Guards against whoever sends large frames without their end on many connections, until the process has no memory.
    it("closes those with the largest unfinished frames once all hold too much, and answers others", async function() {
        this.timeout(30_000);
        server = await TcpServer.create({ host: "127.0.0.1", port: 0, logger, handler: body => Promise.resolve(body) });
        const part = Buffer.alloc(15_000_000);
        let closed = 0;
        for (let caller = 0; caller < 6; caller++) {
            const socket = connect();
            socket.on("close", () => closed += 1);
            socket.write(Buffer.from([0x00, 0xff, 0xff, 0xff]));
            socket.write(part);
        }
        while (closed === 0) {
            await new Promise(resolve => setTimeout(resolve, 100));
            // None of them is closed for doing nothing.
            sockets.forEach(socket => socket.write("x"));
        }
        expect(await isAnswered()).to.equal(true);
    });

    // Guards against requests sent ahead without a bound, each of which holds what its handler holds.
    it("begins few more requests of one connection than may be in progress", async () => {
        let begun = 0;
        const handler = (): Promise<unknown> => {
            begun += 1;
            return new Promise(() => undefined);
        };
        server = await TcpServer.create({ host: "127.0.0.1", port: 0, logger, handler });
        const socket = connect();
        const requests = Buffer.concat(
            Array.from({ length: 1_000 }, (_, id) => encodeFrame({ id, body: "x".repeat(100) })),
        );
        for (let block = 0; block < 50; block++) {
            socket.write(requests);
        }
        while (begun < 1_024) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(begun).to.be.lessThan(3_000);
    });
});

describe("a TCP link", () => {
    // After a power failure of the whole deployment, some gateways received a configuration half a second later than others:
    // they were up before the directories' hosts, so the first packet of their connection was lost, and the link waited for
    // the operating system to retransmit it after a second.
    it("times out a connection attempt well before the system retransmits, and retries immediately", async () => {
        expect(connectTimeoutMilliseconds).to.be.at.most(systemRetryMilliseconds / 2);
        const listener = await StalledListener.create();
        const waiting = await listener.fill();
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: listener.port });
        const failure = (await link.request("first", 100)).swap().extract() as LinkFailure;
        expect(failure.kind).to.equal("unreachable");
        listener.release();
        waiting.forEach(socket => socket.destroy());
        let next: LinkFailure;
        do {
            next = (await link.request("next", 100)).swap().extract() as LinkFailure;
        } while (next.kind === "unreachable");
        // The connection is established, but the listener sends no answer.
        expect(next.kind).to.equal("timeout");
        link.close();
        await listener.close();
    });

    it("assigns answers to their requests in any order", async () => {
        const server = await TcpServer.create({
            host: "127.0.0.1",
            port: 0,
            logger,
            handler: async body => {
                await new Promise(resolve => setTimeout(resolve, (10 - (body as number)) * 2));
                return body;
            },
        });
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: server.port() });
        const answers = await Promise.all([1, 5, 9].map(body => link.request(body, 5_000)));
        expect(answers.map(answer => answer.extract())).to.deep.equal([1, 5, 9]);
        link.close();
        await server.close();
    });

    it("distinguishes a refused connection from one that is lost after sending", async () => {
        const server = await TcpServer.create({
            host: "127.0.0.1",
            port: 0,
            logger,
            handler: () => Promise.reject(new Error("fails")),
        });
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: server.port() });
        expect((await link.request(1, 5_000)).extract()).to.include({ kind: "lost" });
        await server.close();
        expect((await link.request(1, 5_000)).extract()).to.include({ kind: "refused" });
        link.close();
    });

    // An open connection stopped delivering data without a reset while new ones worked. Its messages weren't answered, so
    // nothing showed that it was dead, and a healthy member never caught up.
    it("reconnects when a connection stops delivering data", async () => {
        const received: unknown[] = [];
        const server = await TcpServer.create({
            host: "127.0.0.1",
            port: 0,
            logger,
            handler: body => {
                received.push(body);
                return Promise.resolve(body);
            },
        });
        let connections = 0;
        const relay = net.createServer(socket => {
            connections += 1;
            socket.on("error", () => undefined);
            if (connections === 1) {
                socket.resume();
                return;
            }
            const onward = net.connect(server.port(), "127.0.0.1");
            onward.on("error", () => undefined);
            socket.pipe(onward).pipe(socket);
            socket.on("close", () => onward.destroy());
        });
        await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
        const link = TcpNetwork.create(logger).link({
            host: "127.0.0.1",
            port: (relay.address() as net.AddressInfo).port,
        });
        const sending = setInterval(() => link.send("word"), 50);
        while (received.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        clearInterval(sending);
        expect(connections).to.equal(2);
        link.close();
        relay.close();
        await server.close();
    });

    // Guards against requests that fail, and one more connection, since nobody was asked while this process stood still.
    it("keeps a connection that was idle while its process stood still", async () => {
        let answer = (): void => undefined;
        const handler = (): Promise<string> =>
            new Promise(resolve => {
                answer = () => resolve("late");
            });
        const server = await TcpServer.create({ host: "127.0.0.1", port: 0, handler, logger });
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: server.port() });
        try {
            const answered = link.request("question", 10_000);
            await new Promise(resolve => setTimeout(resolve, 200));
            blockEventLoop(2_300);
            await new Promise(resolve => setTimeout(resolve, 700));
            answer();
            expect((await answered).extract()).to.equal("late");
        }
        finally {
            link.close();
            await server.close();
        }
    });

    it("closes the connection of a sender that doesn't send frames", async () => {
        const server = await TcpServer.create({
            host: "127.0.0.1",
            port: 0,
            logger,
            handler: () => Promise.resolve(1),
        });
        const socket = net.connect({ host: "127.0.0.1", port: server.port() });
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write("GET / HTTP/1.1\r\n\r\n");
        socket.resume();
        await closed;
        await server.close();
    });

    // Guards against a daemon that one message of another program at its port terminates.
    it("survives frames of any content", async () => {
        const handler = (body: unknown): Promise<unknown> => Promise.resolve(body);
        const server = await TcpServer.create({ host: "127.0.0.1", port: 0, logger, handler });
        const port = server.port();
        await fc.assert(
            fc.asyncProperty(fc.oneof(fc.anything(), fc.constantFrom(undefined, "", 0)), async content => {
                const socket = net.connect({ host: "127.0.0.1", port });
                socket.on("error", () => undefined).resume();
                socket.end(encodeFrame(content));
                await once(socket, "close");
            }),
            { seed: 1, examples: [[undefined], ["text"], [{ id: {} }]] },
        );
        const link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port });
        expect((await link.request("sound", 2_000)).extract()).to.equal("sound");
        link.close();
        await server.close();
    });
});
