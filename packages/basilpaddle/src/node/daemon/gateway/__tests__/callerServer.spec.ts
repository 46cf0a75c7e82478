import { expect } from "chai";
import { once } from "node:events";
import * as net from "node:net";
import { createSilentLogger } from "../../../utils/index.js";
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
            logger: createSilentLogger(),
        });
        server.setLimits({ headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 50, idleTimeout: 1_000 });
        const socket = net.connect({ host: "127.0.0.1", port: server.port() });
        socket.write("POST / HTTP/1.1\r\nHost: a\r\n");
        const [answer] = await once(socket, "data") as [Buffer];
        expect(answer.toString()).to.match(/^HTTP\/1\.1 408 /);
        socket.on("error", () => undefined);
        socket.write("Content-Length: 0\r\n\r\n");
        await once(socket, "close");
        server.closeAll();
        expect(handled).to.equal(0);
    });
});
