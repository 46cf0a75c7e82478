import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { createSilentLogger } from "../../../utils/index.js";
import { CallHandler, type CallResponse, CallServer } from "../callServer.js";
import type { DirectoryCall, DirectoryWire } from "../directoryWire.js";

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

describe("a directory's server for calls that closes", () => {
    let handler: SlowStore;
    let server: CallServer;
    let port: number;
    let agent: http.Agent;
    let received: number;

    beforeEach(async () => {
        received = 0;
        agent = new http.Agent({ keepAlive: true });
        handler = new SlowStore();
        port = await freePort();
        server = await CallServer.create({
            address: { host: "127.0.0.1", port },
            handler,
            wire: {
                parseCall: () => {
                    received += 1;
                    return { kind: "storeConfiguration" };
                },
            } as unknown as DirectoryWire,
            logger: createSilentLogger(),
        });
    });

    afterEach(async () => {
        handler.release();
        agent.destroy();
        await server.close();
    });

    function open(): { readonly request: http.ClientRequest; readonly status: Promise<number | string>; } {
        const request = http.request({ host: "127.0.0.1", port, method: "POST", agent });
        const status = new Promise<number | string>(resolve => {
            request.on("response", response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode ?? 0));
            });
            request.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code ?? "broken"));
        });
        return { request, status };
    }

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
