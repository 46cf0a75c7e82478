import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import { omitLength } from "../../../../../../../playground/harness/unframed.js";
import { blockEventLoop } from "../../../../../../../playground/harness/wait.js";
import { announcement, viewOf } from "../../../../../../../simulation/requests/fakes.js";
import { until } from "../../../../../../../simulation/until.js";
import { EntryHarness, replyOf } from "./entryHarness.js";

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, body: string) => void;

/** A fake plain service that records the calls that it executed. */
class FakeService {
    readonly executedCalls: string[] = [];
    readonly sockets = new Set<object>();
    handler: Handler = (_request, response) => response.end("done");

    private constructor(private readonly server: http.Server) {}

    static async create(): Promise<FakeService> {
        const server = http.createServer();
        const service = new FakeService(server);
        server.on("request", (request, response) => {
            service.sockets.add(request.socket);
            let body = "";
            request.setEncoding("utf8").on("data", (chunk: string) => {
                body += chunk;
            });
            request.on("end", () => {
                service.executedCalls.push(`${request.method} ${request.url} ${body}`);
                service.handler(request, response, body);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return service;
    }

    get url(): string {
        return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
    }

    close(): Promise<void> {
        this.server.closeAllConnections();
        return new Promise(resolve => this.server.close(() => resolve()));
    }
}

describe("calls to plain services", () => {
    let harness: EntryHarness;
    let service: FakeService;

    beforeEach(async () => {
        service = await FakeService.create();
        harness = await EntryHarness.create({}, {
            services: { policies: { pathPrefix: "/policies", timeout: 20_000 } },
        });
        announce({ one: service.url });
    });

    afterEach(async () => {
        await service.close();
        await harness.daemon.close();
    });

    function announce(urls: Record<string, string>): void {
        const instances = Object.entries(urls).map(([id, url]) =>
            announcement(id, "service", { url, pool: "policies" })
        );
        harness.control.setView({ ...harness.control.view(), backends: viewOf(instances).backends });
    }

    function post(key: string, body = "{}"): ReturnType<EntryHarness["send"]> {
        return harness.send("/policies/1/cancel", body, { "idempotency-key": key });
    }

    function errorOf(reply: { readonly body: string; }): { readonly code: string; readonly outcome: string; } {
        return JSON.parse(reply.body).error;
    }

    it("are forwarded in both directions without hop-by-hop headers", async () => {
        let forwardedHeaders: http.IncomingHttpHeaders = {};
        service.handler = (request, response) => {
            forwardedHeaders = request.headers;
            response.writeHead(203, { "x-policy": "7", connection: "x-inner", "x-inner": "1" }).end("valid");
        };
        const request = http.get({
            host: "127.0.0.1",
            port: harness.daemon.callerPort(),
            path: "/policies/7?full=1",
            agent: false,
            headers: { te: "trailers", "x-own": "2" },
        });
        const reply = await replyOf(request);
        expect(reply).to.include({ status: 203, body: "valid" });
        expect(reply.headers).to.include({ "x-policy": "7" });
        expect(reply.headers).to.not.have.property("x-inner");
        expect(forwardedHeaders).to.include({ "x-own": "2" });
        expect(forwardedHeaders).to.not.have.property("te");
        expect(service.executedCalls).to.deep.equal(["GET /policies/7?full=1 "]);
    });

    it("aren't cached, and are retried at another instance if one refuses the connection", async () => {
        const closedService = await FakeService.create();
        announce({ one: service.url, two: closedService.url });
        await closedService.close();
        for (let call = 0; call < 10; call++) {
            expect((await harness.get("/policies/7")).status).to.equal(200);
        }
        expect(service.executedCalls).to.have.length(10);
    });

    it("are refused for ambiguous paths and for paths of no service", async () => {
        expect(errorOf(await harness.get("/policies/../admin"))).to.include({ code: "badRequest" });
        expect(errorOf(await harness.get("/policiesx"))).to.include({ code: "unknownRoute" });
    });

    it("run once if they aren't idempotent, and a retry with the same key is given the recorded answer", async () => {
        expect(errorOf(await harness.send("/policies/1/cancel", "{}"))).to.include({ code: "keyMissing" });
        expect((await post("k")).body).to.equal("done");
        const again = await post("k");
        expect(again.body).to.equal("done");
        expect(again.headers).to.include({ "basilpaddle-replayed": "true" });
        expect(errorOf(await post("k", "[]"))).to.include({ code: "keyReused" });
        expect(service.executedCalls).to.have.length(1);
    });

    it("run once if the connection fails after the call was sent", async () => {
        // Failure: a policy was cancelled twice. The service receives the call on a kept-alive connection and closes it
        // without an answer; the reset was interpreted as "not sent", and the call was sent again.
        await harness.get("/policies/7");
        service.handler = request => request.socket.destroy();
        const reply = await post("k");
        expect(reply.status).to.equal(502);
        expect(errorOf(reply)).to.include({ code: "backendFailed", outcome: "unknown" });
        const again = await post("k");
        expect(errorOf(again)).to.include({ code: "outcomeUnknown", outcome: "unknown" });
        expect(service.executedCalls.filter(call => call.startsWith("POST"))).to.have.length(1);
    });

    it("use a new connection if they aren't idempotent", async () => {
        await harness.get("/policies/7");
        await post("k");
        expect(service.sockets.size).to.equal(2);
    });

    it("release the key if it is certain that the call wasn't executed", async () => {
        await service.close();
        const refused = await post("k");
        expect(refused.status).to.equal(503);
        expect(errorOf(refused)).to.include({ code: "noBackend", outcome: "not_run" });
        expect(refused.headers).to.have.property("retry-after", "1");
        service = await FakeService.create();
        announce({ one: service.url });
        const proof = JSON.stringify({ notRun: true, code: "full", message: "busy" });
        service.handler = (_request, response) => response.writeHead(503).end(proof);
        const proved = await post("k");
        expect(proved.headers).to.include({ "basilpaddle-outcome": "not_run" });
        service.handler = (_request, response) => response.end("done");
        expect((await post("k")).body).to.equal("done");
    });

    it("aren't reported as not_run for a 503 status alone", async () => {
        // Failure: a call ran twice. A service executes it, and a component behind the service answers 503; the status
        // was treated as proof, so the caller was told "not run" and retried.
        service.handler = (_request, response) => response.writeHead(503).end("upstream timed out");
        const reply = await post("k");
        expect(reply.status).to.equal(503);
        expect(reply.headers).to.include({ "basilpaddle-outcome": "unknown" });
        expect((await post("k")).headers).to.include({ "basilpaddle-replayed": "true" });
        expect(service.executedCalls).to.have.length(1);
    });

    it("finish after the caller has disconnected if they aren't idempotent, and their answer is recorded", async () => {
        // Failure: a caller lost its connection, retried with its key, and got no answer for the executed call. The call
        // was aborted when its caller disconnected while the service was working.
        let answer = () => {};
        service.handler = (_request, response) => {
            answer = () => void response.end("done late");
        };
        const request = harness.open("/policies/1/cancel", { "idempotency-key": "k" });
        request.on("error", () => undefined);
        request.end("{}");
        await until("executed", () => service.executedCalls.length === 1);
        request.destroy();
        expect(errorOf(await post("k"))).to.include({ code: "runInProgress", outcome: "unknown" });
        answer();
        await until("recorded", () => [...harness.control.runs.values()][0]?.state === "answered");
        expect((await post("k")).body).to.equal("done late");
        expect(service.executedCalls).to.have.length(1);
    });

    it("don't let a truncated answer look complete", async () => {
        service.handler = (_request, response) => {
            response.write("half");
            setImmediate(() => response.destroy());
        };
        expect((await harness.get("/policies/7")).broken).to.equal(true);
        const nonIdempotentReply = await post("k");
        expect(nonIdempotentReply.status).to.equal(502);
        expect(errorOf(nonIdempotentReply)).to.include({ code: "backendFailed", outcome: "failed_after_starting" });
        expect(errorOf(await post("k"))).to.include({ outcome: "failed_after_starting" });
    });

    // Guards against half an answer that looks complete to a caller of HTTP/1.0, for whom the end of its connection is that of the answer.
    it("reset the connection of a caller of HTTP/1.0 whose answer is truncated", async () => {
        service.handler = (_request, response) => {
            response.write("half");
            setTimeout(() => response.destroy(), 20);
        };
        const caller = net.connect(harness.daemon.callerPort(), "127.0.0.1");
        caller.write("GET /policies/7 HTTP/1.0\r\nHost: h\r\n\r\n");
        const end = new Promise<string>(resolve => {
            caller.on("error", () => resolve("reset"));
            caller.on("end", () => caller.write("", error => resolve(error ? "reset" : "end")));
        });
        caller.resume();
        expect(await end).to.equal("reset");
    });

    // Guards against half an answer without a length that looks complete, because its service reset the connection.
    for (const [title, isBusy] of [["in a later turn", false], ["together with its last bytes", true]] as const) {
        it(`don't let an answer without a length look complete if its reset is found ${title}`, async () => {
            service.handler = ({ socket }, response) => {
                omitLength(response);
                response.writeHead(200);
                response.write("half", () => {
                    if (!isBusy) {
                        setTimeout(() => socket.resetAndDestroy(), 20);
                        return;
                    }
                    socket.resetAndDestroy();
                    blockEventLoop(20);
                });
            };
            expect((await harness.get("/policies/7")).broken).to.equal(true);
            const reply = await post("k");
            expect(reply.status).to.equal(502);
            expect(errorOf(reply)).to.include({ code: "backendFailed", outcome: "failed_after_starting" });
        });
    }
});
