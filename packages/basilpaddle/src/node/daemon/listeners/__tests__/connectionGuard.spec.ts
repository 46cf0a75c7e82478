import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import type { Clock } from "../../../utils/index.js";
import { createSilentGuard } from "../../__tests__/silentGuard.js";

/** Parts of one byte that a body of a crowd has. */
const partsOfBody = 50_000;

/** Deterministic numbers below a bound, the same for the same seed. */
function randomOf(seed: number): (bound: number) => number {
    let state = seed;
    return bound => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state % bound;
    };
}

describe("guarded connections", () => {
    let server: http.Server;
    let port: number;
    let most = 0;
    const sockets = new Set<net.Socket>();

    async function listen(bounds: object, handler: http.RequestListener, clock?: Clock): Promise<void> {
        let inProgress = 0;
        most = 0;
        server = http.createServer((request, response) => {
            inProgress += 1;
            most = Math.max(most, inProgress);
            response.once("close", () => {
                inProgress -= 1;
            });
            handler(request, response);
        });
        createSilentGuard(bounds, clock).watch(server, { listener: "test", headBytes: 16_384 });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        ({ port } = server.address() as net.AddressInfo);
    }

    function connect(): { readonly socket: net.Socket; readonly received: () => string; } {
        let received = "";
        const socket = net.connect(port, "127.0.0.1");
        sockets.add(socket);
        socket.on("data", bytes => {
            received += String(bytes);
        });
        socket.on("error", () => undefined);
        return { socket, received: () => received };
    }

    async function until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        sockets.clear();
        server.close();
        server.closeAllConnections();
    });

    // Guards against connections that are held back and never read on, and against bytes that come out of order.
    it("are answered in order, however requests are sent ahead, cut into segments and answered", async function() {
        this.timeout(30_000);
        const random = randomOf(7);
        await listen({ requestsAhead: 3 }, (request, response) => {
            let body = "";
            request.setEncoding("latin1").on("data", part => {
                body += part;
            }).on("end", () => {
                const answer = `${request.url}=${body.length};`;
                setTimeout(() => response.end(answer.padEnd(1 + random(30_000))), random(3));
            });
        });
        const bodies = ["", "x", "\r\n\r\n".repeat(300), "y".repeat(40_000)];
        await Promise.all(Array.from({ length: 20 }, async () => {
            const requests = Array.from(
                { length: 40 },
                (_, index) => ({ path: `/${index}`, body: bodies[random(4)]! }),
            );
            const bytes = requests.map(({ path, body }) => {
                const chunked = random(2) === 0;
                const framing = chunked ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
                const text = chunked
                    ? `${body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`
                    : body;
                return `POST ${path} HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n${text}`;
            }).join("");
            const { socket, received } = connect();
            for (let at = 0; at < bytes.length;) {
                const end = at + 1 + random(50_000);
                socket.write(bytes.slice(at, end));
                at = end;
                await new Promise(setImmediate);
            }
            const answers = (): readonly string[] => received().match(/\/\d+=\d+;/g) ?? [];
            await until(() => answers().length === requests.length);
            expect(answers()).to.deep.equal(requests.map(({ path, body }) => `${path}=${body.length};`));
        }));
    });

    // Guards against thousands of requests of one connection that are all in progress.
    it("have few requests in progress each, whatever is sent ahead", async () => {
        const responses: http.ServerResponse[] = [];
        await listen({ requestsAhead: 4 }, (_request, response) => responses.push(response));
        const { socket, received } = connect();
        socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(1_000));
        let answered = 0;
        await until(() => {
            responses.splice(0).forEach(response => response.end("ok"));
            answered = received().match(/200 OK/g)?.length ?? 0;
            return answered === 1_000;
        });
        expect(most).to.be.at.most(7);
    });

    // Guards against new clients that are kept out by connections which nobody uses.
    it("close the one that was idle for longest when there are too many", async () => {
        await listen({ connections: 2 }, (_request, response) => response.end("ok"));
        const [first, second] = [connect(), connect()];
        await until(() => !first.socket.connecting && !second.socket.connecting);
        second.socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await until(() => second.received().includes("ok"));
        const third = connect();
        third.socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await until(() => third.received().includes("ok") && first.socket.destroyed);
        expect(second.socket.destroyed).to.equal(false);
    });

    // Guards against a request that is lost at a stop: it waits unparsed, so that the server takes its connection for idle.
    it("aren't closed as idle while their request waits for room", async () => {
        const responses: http.ServerResponse[] = [];
        // The clock stands still, so that no connection gives way.
        await listen({ heldBytes: 4_000_000 }, (_request, response) => responses.push(response), new ManualClock());
        let read = 0;
        server.on("connection", socket => socket.on("data", () => read += 1));
        const callers = Array.from({ length: 110 }, () => connect());
        const sendAll = (): void => callers.forEach(({ socket }) => socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
        const answersOf = ({ received }: typeof callers[number]): number => received().match(/200 OK/g)?.length ?? 0;
        const areAnswered = (times: number): Promise<void> =>
            until(() => {
                responses.splice(0).forEach(response => response.end("ok"));
                return callers.every(caller => caller.socket.destroyed || answersOf(caller) === times);
            });
        sendAll();
        await areAnswered(1);
        sendAll();
        await until(() => read === 2 * callers.length);
        const waiting = callers.length - responses.length;
        server.closeIdleConnections();
        await areAnswered(2);
        expect(waiting).to.be.above(0);
        expect(callers.filter(caller => answersOf(caller) !== 2)).to.have.length(0);
    });

    // Guards against ordinary requests that wait for seconds, while the parser is busy with a crowd's bodies in parts of one byte.
    it("are parsed little by little, so that the event loop turns however many parts have come", async function() {
        this.timeout(30_000);
        const callers = 60;
        let parts = 0;
        let mostInTurn = 0;
        await listen({}, request => request.on("data", () => parts += 1));
        const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        const bytes = head + "1\r\nx\r\n".repeat(partsOfBody);
        Array.from({ length: callers }, () => connect()).forEach(({ socket }) => socket.write(bytes));
        while (parts < callers * partsOfBody) {
            const before = parts;
            await new Promise(setImmediate);
            mostInTurn = Math.max(mostInTurn, parts - before);
        }
        expect(mostInTurn).to.be.lessThan(partsOfBody);
    });

    // Guards against a body that never ends and keeps its place.
    it("refuse a request of whose body nothing comes, as not run", async () => {
        await listen({ bodyPause: 100 }, () => undefined);
        const { socket, received } = connect();
        socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
        await until(() => socket.destroyed);
        expect(received()).to.match(/^HTTP\/1\.1 408 /);
    });

    // Guards against requests that are refused in calm, and idle connections that are answered, since bodies count as heads.
    it("have room for many bodies in progress, and nothing is written to them when they are idle", async () => {
        const responses: http.ServerResponse[] = [];
        await listen({ heldBytes: 6_000_000 }, (request, response) => {
            request.resume().on("end", () => responses.push(response));
        });
        const clients = Array.from({ length: 60 }, () => connect());
        const body = "x".repeat(30_000);
        clients.forEach(({ socket }) =>
            socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n${body}`)
        );
        await until(() => responses.length === clients.length);
        responses.forEach(response => response.end());
        await until(() => clients.every(({ received }) => received() !== ""));
        const late = connect();
        late.socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n${body}`);
        await until(() => responses.length > clients.length);
        const answers = clients.map(({ received }) => received().match(/HTTP\/1\.1 \d+/g)?.join());
        expect([...new Set(answers)]).to.deep.equal(["HTTP/1.1 200"]);
    });

    // Guards against a request in progress that loses its answer because another one waits behind it.
    it("aren't closed while a request is served, however long the next one waits for room", async function() {
        this.timeout(10_000);
        const responses: http.ServerResponse[] = [];
        await listen({ heldBytes: 4_000_000 }, (_request, response) => responses.push(response));
        const large = `GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(12_000)}\r\n\r\n`;
        const clients = Array.from({ length: 100 }, () => connect());
        const first = `GET / HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(300)}\r\n\r\n`;
        clients.forEach(({ socket }) => socket.write(`${first}${large}`));
        await until(() => responses.length > 20);
        await new Promise(resolve => setTimeout(resolve, 2_500));
        const served = responses.map(({ req }) => req.socket.destroyed);
        expect([...new Set(served)]).to.deep.equal([false]);
    });

    // Guards against requests that the parser answers itself, which nothing counts.
    it("count requests with an expectation that isn't met", async () => {
        await listen({ requestsAhead: 2 }, () => undefined);
        let begun = 0;
        server.on("checkExpectation", () => {
            begun += 1;
        });
        const { socket, received } = connect();
        socket.write(
            `GET / HTTP/1.1\r\nHost: h\r\n\r\n${"GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n".repeat(1_000)}`,
        );
        await new Promise(resolve => setTimeout(resolve, 100));
        expect([received(), begun > 0 && begun < 10]).to.deep.equal(["", true]);
    });
});
