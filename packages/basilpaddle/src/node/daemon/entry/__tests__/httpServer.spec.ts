import { expect } from "chai";
import { createSilentLogger } from "../../../utils/index.js";
import { sendLate } from "../../__tests__/lateRequest.js";
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
        expect(await sendLate(server.port())).to.match(/^HTTP\/1\.1 408 /);
        server.closeAll();
        await server.close();
        expect(handled).to.equal(0);
    });
});
