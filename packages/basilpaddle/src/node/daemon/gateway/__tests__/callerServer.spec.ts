import { expect } from "chai";
import { createSilentLogger } from "../../../utils/index.js";
import { sendLate } from "../../__tests__/lateRequest.js";
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
        expect(await sendLate(server.port())).to.match(/^HTTP\/1\.1 408 /);
        server.closeAll();
        expect(handled).to.equal(0);
    });
});
