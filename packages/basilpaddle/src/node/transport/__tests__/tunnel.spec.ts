import { expect } from "chai";
import { once } from "node:events";
import * as net from "node:net";
import { blockEventLoop } from "../../../../../../playground/harness/wait.js";
import { connectTimeoutCode } from "../connecting.js";
import { encodeFrame } from "../frame.js";
import { openTunnel } from "../tunnel.js";

const timeoutMilliseconds = 200;

describe("a tunnel to another daemon", () => {
    let server: net.Server;
    let onRequest: (socket: net.Socket) => void;

    beforeEach(async () => {
        server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => onRequest(socket));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => server.close());

    function open(): ReturnType<typeof openTunnel> {
        const { port } = server.address() as net.AddressInfo;
        return openTunnel({ host: "127.0.0.1", port }, { kind: "x" }, timeoutMilliseconds);
    }

    // Guards against relays that are avoided, since nobody read their replies.
    it("is opened though its process stood still while the reply came", async () => {
        onRequest = socket => {
            socket.write(encodeFrame({ kind: "opened" }));
            blockEventLoop(3 * timeoutMilliseconds);
        };
        const { socket, reply } = await open();
        socket.destroy();
        expect(reply).to.deep.equal({ kind: "opened" });
    });

    it("fails if no reply comes", async () => {
        let accepted: net.Socket | undefined;
        onRequest = socket => {
            accepted = socket;
        };
        const failure = await open().then(() => undefined, (error: unknown) => error);
        accepted?.destroy();
        expect(failure).to.include({ code: connectTimeoutCode });
    });
});
