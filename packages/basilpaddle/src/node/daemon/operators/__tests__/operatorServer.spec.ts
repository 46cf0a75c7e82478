import { expect } from "chai";
import { Left, Right } from "purify-ts";
import type { LinkFailure } from "../../../transport/index.js";
import { createSilentLogger, RecordedMetrics, SystemClock } from "../../../utils/index.js";
import { type Bounds, createLowBounds, expectBounded } from "../../__tests__/smallCrowd.js";
import { type ControlChannel, LeaderOperations } from "../leaderOperations.js";
import { OperatorServer } from "../operatorServer.js";
import type { ControlAnswer, DaemonStatus, OperatorAnswer, OperatorRequest } from "../operatorWire.js";

const file = {
    name: "a.json",
    text: JSON.stringify({
        pools: { drafting: { models: [{ name: "m", version: "1" }], copies: { prefill: 1, decode: 1 } } },
    }),
};
const change = { changeId: "c1", operator: "ana", base: 0, files: [file], note: "first" };
const accepted: OperatorAnswer = { kind: "applied", result: { kind: "accepted", revision: 1 }, daemons: ["entry-1"] };

type Answers = (request: OperatorRequest) => OperatorAnswer | ControlAnswer | LinkFailure["kind"];

function fakeChannel(name: string, answers: Answers, asked: string[] = []): ControlChannel {
    return {
        name,
        send: request => {
            asked.push(name);
            const answer = answers(request);
            if (typeof answer === "string") {
                return Promise.resolve(Left({ kind: answer, message: `${name}: ${answer}` }));
            }
            return Promise.resolve(Right("leading" in answer ? answer : { kind: "operator", leading: true, answer }));
        },
    };
}

function notLeader(leader?: string): ControlAnswer {
    const answer: OperatorAnswer = { kind: "failure", code: "notLeader", message: "this one is a follower" };
    return { kind: "operator", leading: false, leader, answer };
}

describe("operators' HTTP", () => {
    let server: OperatorServer | undefined;
    let daemon: DaemonStatus;
    let bounds: Bounds;
    beforeEach(() => {
        bounds = createLowBounds();
        daemon = { name: "entry-1", role: "entry", failureDomain: "pocitos", ready: true, revision: 3 };
    });
    afterEach(() => server?.close());

    async function serve(...channels: ControlChannel[]): Promise<string> {
        server = await OperatorServer.create({
            address: { host: "127.0.0.1", port: 0 },
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
            operations: LeaderOperations.create(channels, SystemClock.create()),
            ...bounds,
            daemon: () => daemon,
        });
        return `http://127.0.0.1:${server.port()}`;
    }

    // Guards against callers of the operators' listener that end a control or entry daemon by what they make it hold.
    it("bounds what unfinished bodies make it hold", async () => {
        const url = await serve(fakeChannel("c1", () => accepted));
        await expectBounded(Number(new URL(url).port), bounds, { path: "/operator/v1/config", read: "/healthz" });
    });

    // Guards against a change that is applied while its operator's connection is closed without an answer.
    it("answers a change that is being applied while it closes", async () => {
        let release!: () => void;
        const released = new Promise<void>(resolve => {
            release = resolve;
        });
        let started!: () => void;
        const hasStarted = new Promise<void>(resolve => {
            started = resolve;
        });
        const url = await serve({
            name: "c1",
            send: async () => {
                started();
                await released;
                return Right({ kind: "operator", leading: true, answer: accepted });
            },
        });
        const posted = post(`${url}/operator/v1/config`, change);
        await hasStarted;
        const closed = server!.close();
        release();
        expect(await posted).to.deep.include({ status: 200, answer: accepted });
        await closed;
    });

    // Guards against an operator who can't tell whether a change was applied, and a shutdown that waits for it.
    it("says that the outcome of a change isn't known if it takes too long while it closes", async () => {
        let started!: () => void;
        const hasStarted = new Promise<void>(resolve => {
            started = resolve;
        });
        const url = await serve({
            name: "c1",
            send: () => {
                started();
                return new Promise(() => undefined);
            },
        });
        const posted = post(`${url}/operator/v1/config`, change);
        await hasStarted;
        await server!.close();
        expect(await posted).to.have.nested.include({ "status": 504, "answer.code": "undecided" });
    });

    async function post(url: string, body: unknown): Promise<{ status: number; answer: OperatorAnswer; }> {
        const response = await fetch(url, {
            method: "POST",
            body: typeof body === "string" ? body : JSON.stringify(body),
        });
        return { status: response.status, answer: await response.json() as OperatorAnswer };
    }

    it("reports to the load balancer whether the daemon is ready, and why not", async () => {
        const base = await serve();
        expect((await fetch(`${base}/healthz`)).status).to.equal(200);
        expect((await fetch(`${base}/readyz`)).status).to.equal(200);
        daemon = { ...daemon, ready: false, reason: "shutting down" };
        const response = await fetch(`${base}/readyz`);
        expect(response.status).to.equal(503);
        expect(await response.text()).to.equal("not ready: shutting down\n");
    });

    it("merges the files itself and forwards the change to the leader", async () => {
        const forwardedRequests: OperatorRequest[] = [];
        const base = await serve(
            fakeChannel("control-1", () => notLeader("control-3")),
            fakeChannel("control-2", () => "refused"),
            fakeChannel("control-3", request => {
                forwardedRequests.push(request);
                return accepted;
            }),
        );
        const { status, answer } = await post(`${base}/operator/v1/config`, change);
        expect(status).to.equal(200);
        expect(answer).to.deep.equal(accepted);
        const [request] = forwardedRequests;
        expect(request?.kind === "apply" && request.change.declaration.pools["drafting"]?.queueLimit).to.equal(1_000);
    });

    it("rejects malformed bodies and files with findings, and keeps serving", async () => {
        const base = await serve(fakeChannel("control-1", () => accepted));
        expect((await post(`${base}/operator/v1/config`, "{")).status).to.equal(400);
        expect((await post(`${base}/operator/v1/config`, { ...change, operator: "" })).status).to.equal(400);
        const rejectedReply = await post(`${base}/operator/v1/config`, {
            ...change,
            files: [{ name: "a.json", text: "{" }],
        });
        expect(rejectedReply.status).to.equal(422);
        expect(rejectedReply.answer.kind === "failure" && rejectedReply.answer.findings?.[0]?.file).to.equal("a.json");
        expect((await post(`${base}/operator/v1/nothing`, {})).status).to.equal(404);
        expect((await fetch(`${base}/operator/v1/audit?limit=x`)).status).to.equal(400);
        expect((await fetch(`${base}/operator/v1/config`, { method: "DELETE" })).status).to.equal(405);
        expect((await post(`${base}/operator/v1/config`, change)).status).to.equal(200);
    });

    it("names the winner of two conflicting changes", async () => {
        const winner = { operator: "bea", changeId: "c0" };
        const base = await serve(
            fakeChannel(
                "control-1",
                () => ({ kind: "applied", daemons: [], result: { kind: "conflict", revision: 4, winner } }),
            ),
        );
        const { status, answer } = await post(`${base}/operator/v1/config`, change);
        expect(status).to.equal(409);
        expect(answer.kind === "applied" && answer.result).to.deep.include({ winner });
    });

    it("answers that a change is undecided once one attempt to send it may have arrived", async () => {
        // Guards against a change that is reported as refused but is in force: the leader accepts it and crashes before it
        // answers, the others have no leader until the timeout, and only the last failure, `notLeader`, is reported.
        let first = true;
        const base = await serve(
            fakeChannel("control-1", () => {
                const answer = first ? "lost" : "refused";
                first = false;
                return answer;
            }),
            fakeChannel("control-2", () => notLeader()),
        );
        const { status, answer } = await post(`${base}/operator/v1/config?timeout=300`, change);
        expect(status).to.equal(504);
        expect(answer).to.deep.include({ kind: "failure", code: "undecided" });
    });

    it("answers that nothing was changed if no control daemon received the change", async () => {
        const base = await serve(
            fakeChannel("control-1", () => "refused"),
            fakeChannel("control-2", () => notLeader()),
        );
        const { status, answer } = await post(`${base}/operator/v1/config?timeout=200`, change);
        expect(status).to.equal(503);
        expect(answer).to.deep.include({ kind: "failure", code: "unreachable" });
    });

    it("finds a new leader and remembers it", async () => {
        const askedChannels: string[] = [];
        const history: OperatorAnswer = { kind: "history", entries: [] };
        const base = await serve(
            fakeChannel("control-1", () => notLeader("control-2"), askedChannels),
            fakeChannel("control-2", () => history, askedChannels),
        );
        await fetch(`${base}/operator/v1/history`);
        const response = await fetch(`${base}/operator/v1/history`);
        expect(await response.json()).to.deep.equal(history);
        expect(askedChannels).to.deep.equal(["control-1", "control-2", "control-2"]);
    });

    it("reads from a control daemon that doesn't lead only while none leads", async () => {
        // Guards against a `config show` that returns an old configuration after a newer one was accepted: an entry daemon
        // asked a control daemon that was partitioned from the others, and took this first answer without checking that its
        // sender led.
        const outdatedHistory: OperatorAnswer = { kind: "history", entries: [] };
        const entry = { revision: 1, index: 3, at: 0, changeId: "c1", operator: "ana", note: "", files: [] };
        const currentHistory: OperatorAnswer = { kind: "history", entries: [entry] };
        let leads = true;
        const base = await serve(
            fakeChannel("control-1", () => ({ kind: "operator", leading: false, answer: outdatedHistory })),
            fakeChannel("control-2", () => leads ? currentHistory : "refused"),
        );
        const history = async (): Promise<unknown> => (await fetch(`${base}/operator/v1/history`)).json();
        expect(await history()).to.deep.equal(currentHistory);
        leads = false;
        expect(await history()).to.deep.equal(outdatedHistory);
    });
});
