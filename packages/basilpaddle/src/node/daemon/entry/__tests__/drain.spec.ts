import { expect } from "chai";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { until } from "../../../../../../../simulation/until.js";
import { chatBody, EntryHarness, type Reply, replyOf, streamedText } from "./entryHarness.js";

describe("a draining entry daemon", () => {
    let harness: EntryHarness;
    let release: () => void;

    beforeEach(async () => {
        harness = await EntryHarness.create();
        const gate = new Promise<void>(resolve => {
            release = resolve;
        });
        let tokens = 0;
        harness.engine("d1").beforeToken = () => (++tokens % 4 === 3 ? gate : Promise.resolve());
    });

    afterEach(async () => {
        release();
        await harness.daemon.close();
    });

    function startStreams(count: number): Promise<Reply>[] {
        return Array.from({ length: count }, () => harness.chat({ stream: true }));
    }

    it("completes requests in progress, refuses new ones as not_run and closes idle connections", async () => {
        // Failure: a restart of the daemon interrupted a long answer. The daemon is shut down while streams run and one
        // caller keeps an idle connection; all connections were closed, or waited for, without regard to their requests.
        const agent = new http.Agent({ keepAlive: true });
        const port = harness.daemon.callerPort();
        const idle = http.get({ host: "127.0.0.1", port, path: "/v1/models", agent });
        await replyOf(idle);
        const replies = startStreams(20);
        await until("streams run", () => harness.engine("d1").ran.filter(ran => ran.stage === "decode").length === 20);
        const lateRequest = harness.open("/v1/chat/completions", {});
        const lateReply = replyOf(lateRequest);
        const body = JSON.stringify(chatBody());
        lateRequest.write(body.slice(0, 10));
        await until("late request counted", () => harness.daemon.openRequests() === 21);
        let ended = false;
        const drained = harness.daemon.drain().finally(() => {
            ended = true;
        });
        expect(harness.daemon.isReady()).to.equal(false);
        const refusedReply = await harness.chat();
        expect(refusedReply.status).to.equal(503);
        expect(refusedReply.headers).to.include({ connection: "close", "retry-after": "1" });
        expect(JSON.parse(refusedReply.body).error).to.include({ code: "shuttingDown", outcome: "not_run" });
        expect((await harness.get("/readyz")).status).to.equal(503);
        expect(ended, "the drain ended before its requests").to.equal(false);
        release();
        await Promise.all(replies);
        expect(ended, "the drain ended before a request that was still being received").to.equal(false);
        lateRequest.end(body.slice(10));
        for (const reply of await Promise.all(replies)) {
            expect(streamedText(reply)).to.equal("one two three four");
            expect(reply.broken).to.equal(false);
        }
        expect((await lateReply).status).to.equal(200);
        expect(await drained).to.deep.equal({ abortedRequests: [], unconfirmedCancels: 0, undecidedRuns: 0 });
        await harness.daemon.close();
        agent.destroy();
    });

    it("stops the requests in progress on a second call and reports them", async () => {
        const replies = startStreams(3);
        await until("streams run", () => harness.engine("d1").ran.filter(ran => ran.stage === "decode").length === 3);
        const drained = harness.daemon.drain();
        void harness.daemon.drain();
        for (const reply of await Promise.all(replies)) {
            expect(reply.broken || reply.status === 503).to.equal(true);
            expect(reply.body).to.contain("\"code\":\"shuttingDown\",\"outcome\":\"failed_after_starting\"");
        }
        expect((await drained).abortedRequests).to.have.length(3);
        release();
        await until("engine freed", () => harness.engine("d1").attemptsHoldingResources.size === 0);
    });

    // Guards against requests that get no answer since their connections were opened, or their bodies begun, before the shutdown.
    it("refuses as not_run what comes late on a connection that was open, and a body that a second call finds unfinished", async () => {
        const port = harness.daemon.callerPort();
        const unused = net.connect(port, "127.0.0.1");
        await once(unused, "connect");
        const [running] = startStreams(1);
        await until("the stream runs", () => harness.engine("d1").ran.length > 0);
        const slow = harness.open("/v1/chat/completions", {});
        const slowReply = replyOf(slow);
        slow.write("{");
        await until("the slow body is counted", () => harness.daemon.openRequests() === 2);
        const drained = harness.daemon.drain();
        let received = "";
        unused.on("error", () => undefined).on("data", chunk => {
            received += String(chunk);
        });
        const body = JSON.stringify(chatBody());
        unused.write(`POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        await once(unused, "close");
        expect(received).to.match(/^HTTP\/1.1 503 /).and.to.contain("\"outcome\":\"not_run\"");
        void harness.daemon.drain();
        const { status, body: answer } = await slowReply;
        expect([status, JSON.parse(answer).error.code]).to.deep.equal([503, "shuttingDown"]);
        release();
        await running;
        expect((await drained).abortedRequests).to.have.length(2);
    });
});
