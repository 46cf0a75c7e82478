import { expect } from "chai";
import { once } from "node:events";
import * as net from "node:net";
import { createSilentLogger } from "../../../utils/index.js";
import { HttpServer } from "../httpServer.js";

describe("the HTTP listener of an entry daemon", () => {
    // Guards against a request that runs though its caller was told that it didn't: its rest arrived after a pause.
    it("doesn't handle a request whose rest arrives after it was refused as incomplete", async () => {
        let handled = 0;
        const server = await HttpServer.create({
            address: { host: "127.0.0.1", port: 0 },
            receiveTimeout: 50,
            logger: createSilentLogger(),
            handler: () => {
                handled += 1;
            },
        });
        const socket = net.connect({ host: "127.0.0.1", port: server.port() });
        socket.write("POST / HTTP/1.1\r\nHost: a\r\n");
        const [answer] = await once(socket, "data") as [Buffer];
        expect(answer.toString()).to.match(/^HTTP\/1\.1 408 /);
        socket.on("error", () => undefined);
        socket.write("Content-Length: 0\r\n\r\n");
        await once(socket, "close");
        server.closeAll();
        await server.close();
        expect(handled).to.equal(0);
    });
});
