import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import type { TrafficRoute } from "../../../protocol/index.js";
import { HeldBytes } from "../../backends/index.js";
import { CallerRequest } from "../callerRequest.js";

const route: TrafficRoute = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "safe",
    timeout: 5_000,
    target: 100,
    priority: 0,
    targets: [{ service: "s", weight: 1 }],
    attempts: 1,
    prompts: false,
    resumable: false,
    public: false,
};

/** Everything that a caller receives until the connection ends. */
async function answerOf(
    act: (request: CallerRequest) => void,
    head = "GET / HTTP/1.1",
    attempt = "a",
): Promise<string> {
    const server = http.createServer((incoming, response) => {
        const metadata = {
            attempt,
            deadlineWithin: undefined,
            promptTokens: 0,
            maxTokens: 1,
            expectedTokens: undefined,
            tokens: { kind: "notStated" },
        } as const;
        const identity = { organisation: undefined, keysInForce: false };
        const now = (): number => performance.now();
        const body = undefined;
        act(CallerRequest.create({ incoming, response, metadata, route, identity, body, arrivedAt: now(), now }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect(port, "127.0.0.1");
    socket.write(`${head}\r\nHost: h\r\nConnection: close\r\n\r\n`);
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString();
    });
    socket.on("error", () => undefined);
    await new Promise(resolve => socket.once("close", resolve));
    server.close();
    return received;
}

describe("a caller's request", () => {
    // Guards against a partial answer that looks complete to the caller. A backend server answers without a length and ends
    // its connection regularly in the middle of the answer; the gateway then forwarded the received part with a length of
    // its own. The end of such an answer doesn't prove that it is complete, but a length claims so.
    it("receives an answer without a length as one without a length", async () => {
        const answer = await answerOf(request => {
            request.sendAnswer({ status: 200, rawHeaders: ["X-A", "1"], framed: false }, Buffer.from("part"));
        });
        expect(answer.toLowerCase()).not.to.match(/content-length|transfer-encoding/);
        expect(answer).to.match(/\r\n\r\npart$/);
    });

    // Guards against a stream that ends with its connection, so that every end of its gateway looks like that of the answer.
    it("receives a stream in chunks, the last of which comes only once it is whole", async () => {
        const begin = (request: CallerRequest): Promise<void> => {
            request.beginStream({ status: 200, rawHeaders: [] });
            return request.write(Buffer.from("id: 1\n\n"));
        };
        const whole = await answerOf(request => void begin(request).then(() => request.finishStream()));
        expect(whole).to.match(/\r\nTransfer-Encoding: chunked\r\n/i).and.match(/\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n$/);
        const cut = await answerOf(request => void begin(request).then(() => request.fail(502, "cut")));
        expect(cut).to.match(/\r\n7\r\nid: 1\n\n\r\n$/);
    });

    // Guards against a cut stream that a caller of HTTP/1.0, who can't read chunks, takes for a whole one.
    it("receives a stream only once it is whole, with its length, if it was sent by HTTP/1.0", async () => {
        const act = (end: (request: CallerRequest) => void) => (request: CallerRequest): void => {
            request.beginStream({ status: 200, rawHeaders: [] });
            void request.write(Buffer.from("id: 1\n\n")).then(() => end(request));
        };
        const whole = await answerOf(act(request => request.finishStream()), "GET / HTTP/1.0");
        expect(whole).to.match(/^HTTP\/1.1 200 /).and.match(/\r\nContent-Length: 7\r\n[^]*\r\n\r\nid: 1\n\n$/);
        expect(await answerOf(act(request => request.fail(502, "cut")), "GET / HTTP/1.0")).to.match(/^HTTP\/1.1 502 /);
    });

    // Guards against many streams without an end to callers of HTTP/1.0, which are held until they are whole and take the gateway's memory.
    it("receives no more of a stream by HTTP/1.0 than all bodies together have room for", async () => {
        const held = HeldBytes.createDefault();
        held.take({}, held.limit);
        const answer = await answerOf(request => {
            request.beginStream({ status: 200, rawHeaders: [] }, held);
            expect(() => void request.write(Buffer.from("id: 1\n\n"))).to.throw(/no room/);
            request.fail(502, "no room");
        }, "GET / HTTP/1.0");
        expect(answer).to.match(/^HTTP\/1.1 502 /);
    });

    it("receives a complete answer with its length, without hop-by-hop headers of the backend connection", async () => {
        const rawHeaders = ["Keep-Alive", "timeout=9", "Transfer-Encoding", "chunked", "X-A", "1"];
        const answer = await answerOf(request => {
            request.sendAnswer({ status: 200, rawHeaders, framed: true }, Buffer.from("whole"));
        });
        expect(answer).to.contain("Content-Length: 5").and.to.contain("X-A: 1");
        expect(answer.toLowerCase()).not.to.match(/chunked|timeout=9/);
    });

    it("is cut off if its stream fails, without a regular end of the response", async () => {
        const answer = await answerOf(request => {
            request.beginStream({ status: 200, rawHeaders: [] });
            void request.write(Buffer.from("id: 1\n\n")).then(() => request.fail(502, "broke off"));
        });
        expect(answer).not.to.match(/\r\n0\r\n\r\n$/);
    });

    // Guards against a caller whose attempt no other daemon can read, so that its gateway takes the leader for unresponsive.
    it("bears an attempt that other daemons can read, whatever its caller sent", async () => {
        for (const sent of ["", "a".repeat(201)]) {
            await answerOf(
                request => {
                    expect(request.attempt.length).to.be.within(1, 200);
                    expect(request.attempt).to.equal(request.attempt);
                    request.refuse(1, "full");
                },
                "GET / HTTP/1.1",
                sent,
            );
        }
    });

    it("that is refused receives a Retry-After header in seconds", async () => {
        const answer = await answerOf(request => request.refuse(1_250, "full"));
        expect(answer).to.match(/^HTTP\/1\.1 503 /).and.to.contain("Retry-After: 1.25\r\n");
    });
});
