import { expect } from "chai";
import * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { createSilentLogger } from "../../../utils/index.js";
import { sendLate } from "../../__tests__/lateRequest.js";
import { createSilentGuard } from "../../__tests__/silentGuard.js";
import { HttpServer } from "../httpServer.js";

describe("the HTTP listener of an entry daemon", () => {
    // Guards against a request that runs though its caller was told that it didn't: its rest arrived after a pause.
    it("doesn't handle a request whose rest arrives after it was refused as incomplete", async () => {
        let handled = 0;
        const server = await HttpServer.create({
            address: { host: "127.0.0.1", port: 0 },
            listener: "callers",
            guard: createSilentGuard(),
            receiveTimeout: 50,
            logger: createSilentLogger(),
            handler: () => {
                handled += 1;
            },
        });
        expect(await sendLate(server.port())).to.match(/^HTTP\/1\.1 408 /);
        server.closeAll();
        await server.close();
        expect(handled).to.equal(0);
    });

    // Guards against thousands of requests that one connection sends ahead, and that are all in progress.
    it("begins few of the requests that a connection sends ahead", async () => {
        let handled = 0;
        const server = await HttpServer.create({
            address: { host: "127.0.0.1", port: 0 },
            listener: "callers",
            guard: createSilentGuard({ requestsAhead: 4 }),
            receiveTimeout: 5_000,
            logger: createSilentLogger(),
            handler: () => {
                handled += 1;
            },
        });
        const socket = net.connect(server.port(), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(1_000));
        await until("some are begun", () => Promise.resolve(handled > 0));
        await new Promise(resolve => setTimeout(resolve, 50));
        socket.destroy();
        server.closeAll();
        await server.close();
        expect(handled).to.be.at.most(7);
    });
});
