import { expect } from "chai";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { blockEventLoop } from "../../../../../../../playground/harness/wait.js";
import { createSilentLogger, SilentMetrics, SystemClock } from "../../../utils/index.js";
import { HeldBytes } from "../../backends/index.js";
import { readBodyOrRefuse } from "../heldBody.js";
import { writeOwnAnswer } from "../ownAnswer.js";

const limits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeout: 3_000, idleTimeout: 15_000 };
/** Of which callers' bodies may take half. */
const heldLimit = 1_000_000;

describe("the body of a caller", () => {
    const clock = SystemClock.create();
    let held: HeldBytes;
    let server: http.Server;
    let sockets: net.Socket[];
    let within: number;

    beforeEach(async () => {
        const logger = createSilentLogger();
        held = HeldBytes.create({ limit: heldLimit, clock, logger, metrics: SilentMetrics.create() });
        server = http.createServer(async (incoming, response) => {
            const refuse = (status: number, cause: string, headers?: Readonly<Record<string, string>>): void =>
                writeOwnAnswer(response, status, cause, headers);
            const deadline = { clock, dueAt: clock.monotonic() + within };
            const body = await readBodyOrRefuse(incoming, response, limits, held, deadline, refuse);
            if (body !== undefined) {
                response.end(String(body.length));
            }
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        sockets = [];
        within = 60_000;
    });

    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.closeAllConnections();
        server.close();
    });

    /** Sends the head of a body of that length, and the first bytes of it. */
    function send(length: number, sent: number): net.Socket {
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined).resume();
        socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n`);
        socket.write(Buffer.alloc(sent));
        sockets.push(socket);
        return socket;
    }

    async function until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    // Guards against bodies without room that keep counting what was dropped, so that others find no room either.
    it("doesn't count what it doesn't hold once there is no room for it", async () => {
        const socket = send(2_000_000, 300_000);
        await until(() => held.bytes >= 300_000);
        socket.write(Buffer.alloc(400_000));
        await until(() => held.bytes === 0);
    });

    // Guards against callers whose body got no room, and who learn it only once all of it was read.
    it("is refused at once if there is no room for it, as not run, and its connection closes", async () => {
        const socket = send(2_000_000, 600_000);
        let answer = "";
        socket.on("data", (bytes: Buffer) => {
            answer += bytes.toString("latin1");
        });
        await once(socket, "close");
        expect([/^HTTP\/1.1 (\d+)/.exec(answer)?.[1], /^Retry-After: (.*)$/im.test(answer)]).to.deep.equal([
            "503",
            true,
        ]);
        expect(answer).to.match(/^Connection: close\r$/im);
        expect(held.bytes).to.equal(0);
    });

    // Guards against bodies that never end, and keep out every caller who would be done in a moment.
    it("that is large and never ends gives way to a small one", async () => {
        const large = [send(2_000_000, 240_000), send(2_000_000, 240_000)];
        await until(() => held.bytes >= 480_000);
        const [answer] = await once(send(40_000, 40_000), "data") as [Buffer];
        expect(answer.toString("latin1")).to.match(/^HTTP\/1.1 200 [^]*\r\n\r\n40000$/);
        await until(() => large.some(({ destroyed }) => destroyed));
    });

    // Guards against bodies that keep their room, and their callers waiting, beyond the time of their request.
    it("is refused with 408 if it isn't whole within its request's time, and its connection closes", async () => {
        within = 100;
        const socket = send(2, 1);
        const [answer] = await once(socket, "data") as [Buffer];
        expect(answer.toString("latin1")).to.match(/^HTTP\/1.1 408 [^]*Connection: close/);
        await once(socket, "close");
        expect(held.bytes).to.equal(0);
    });

    it("is served if it came within its time to a process that stood still until after it", async () => {
        within = 300;
        const socket = send(400_000, 0);
        const answer = once(socket, "data");
        await new Promise(resolve => server.once("request", resolve));
        socket.write(Buffer.alloc(400_000));
        await new Promise(resolve => setTimeout(resolve, 1));
        blockEventLoop(600);
        expect(String((await answer)[0])).to.match(/^HTTP\/1.1 200 /);
    });
});
