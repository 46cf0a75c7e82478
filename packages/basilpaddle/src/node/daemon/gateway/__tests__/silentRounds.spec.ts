import { expect } from "chai";
import { PassThrough } from "node:stream";
import { flushPromises, ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced, rule } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable, LinkQuality } from "../../../coordination/index.js";
import type { PlacementRequest } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { AnswerLimits, type BackendCall } from "../../backends/index.js";
import type { ExchangeOptions } from "../backendSender.js";
import type { GatewayWire, RunMetadata } from "../gatewayWire.js";
import type { PlacementClient, PlacementResult } from "../placementClient.js";
import type { RoutedResult } from "../serverPaths.js";
import { StreamExchange } from "../streamExchange.js";
import type { StreamVersions } from "../streamVersions.js";
import { createRequest } from "./fakeRequest.js";

const engineRule = { ...rule, handleLife: 10_000 };
const service = { name: "pool", healthPath: "/health", connectionLimit: 50, engine: engineRule };
const idleLimit = 1_200;
const headLimit = 1_500;

/** A run that was sent to an engine, and what the engine does with it. */
class SentRun {
    readonly body = new PassThrough();
    private resolve: (result: RoutedResult) => void = () => undefined;
    readonly result = new Promise<RoutedResult>(resolve => {
        this.resolve = resolve;
    });
    private hasBegun = false;

    constructor(readonly engine: string, readonly metadata: RunMetadata, private readonly call: BackendCall) {
        this.body.on("error", () => undefined);
        call.signal.addEventListener("abort", () => {
            this.body.destroy(new Error("aborted"));
            this.resolve({ kind: "broken", cause: "aborted", wasReset: false, lostOnPath: false });
        });
    }

    get isEnded(): boolean {
        return this.call.signal.aborted;
    }

    /** The engine receives the run; before, it waits for a connection. */
    begin(): this {
        this.call.maySend?.();
        this.hasBegun = true;
        return this;
    }

    fail(cause: string): void {
        this.resolve(
            this.hasBegun
                ? { kind: "broken", cause, wasReset: true, lostOnPath: false }
                : { kind: "notSent", cause, lostOnPath: false } as RoutedResult,
        );
    }

    answer(status = 200): this {
        this.begin();
        this.resolve({ status, rawHeaders: [], headers: {}, body: this.body, framed: true } as unknown as RoutedResult);
        return this;
    }

    write(event: number): this {
        this.body.write(`id: ${event}\ndata: ${this.engine}\n\n`);
        return this;
    }
}

/** One request, played on engines `a`, `b` and `c`, which are placed in that order. */
class Play {
    readonly runs: SentRun[] = [];
    readonly prefills: string[] = [];
    readonly freed: string[] = [];
    readonly released: string[] = [];
    readonly request;
    readonly clock = new ManualClock();
    /** What placements wait for, by engine. */
    readonly held = new Map<string, Promise<void>>();
    readonly end: Promise<void>;
    private metadata: RunMetadata | undefined;

    constructor(attempts: number, private readonly separatePrefill = false) {
        this.request = createRequest({ kind: "streaming", timeout: 30_000, attempts, resumable: true, prompts: true });
        this.end = this.serve();
    }

    async advance(milliseconds: number): Promise<void> {
        await flushPromises();
        await this.clock.advance(milliseconds);
    }

    private serve(): Promise<void> {
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "prefill", stage: "prefill" }));
        ["a", "b", "c"].forEach(id =>
            instances.apply(announced({ id, address: `10.0.1.1:${id.charCodeAt(0)}`, stage: "decode" }))
        );
        const exchange = {
            wire: {
                systemHeaders: new Set(),
                keyHeaders: new Set(),
                runHeaders: (run: RunMetadata) => {
                    this.metadata = run;
                    return {};
                },
                parseAnswer: () => ({ attempt: undefined, sealed: true, notRun: false, instance: undefined }),
                parsePrefill: (body: string) => body,
                freeHandle: (handle: string) => {
                    this.freed.push(handle);
                    return { method: "DELETE", path: "/", headers: {} };
                },
            } as unknown as GatewayWire,
            paths: {
                call: (call: BackendCall) => this.answer(call),
                hasNoPath: () => false,
                isLostOnPath: () => Promise.resolve(false),
                listenStatusOf: () => Promise.resolve("yes"),
            },
            answers: AnswerLimits.createDefault(),
            instances,
            links: LinkQuality.create(),
            clock: this.clock,
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
            admission: { admit: () => Promise.resolve(true), observeAnswer: () => undefined },
            crashes: {
                begunAfter: 1_000,
                quarantineStatus: () => undefined,
                reportLostRun: () => Promise.resolve(),
                reportAnswered: () => undefined,
                reportBegun: () => undefined,
            },
            retryAllowance: {
                recordRequest: () => undefined,
                takeRetry: () => Promise.resolve(true),
                returnRetry: () => undefined,
            },
            gateways: () => 1,
            loop: { activeClock: this.clock, isLagging: () => false, hasLaggedSince: () => false },
        } as unknown as ExchangeOptions;
        const placements = {
            requestPlacement: (demand: PlacementRequest, signal: AbortSignal) => this.place(demand, signal),
            release: (attempt: string) => this.released.push(attempt),
            prefillCompleted: () => undefined,
            observeWriting: () => undefined,
        } as unknown as PlacementClient;
        const versions = {
            begin: () => undefined,
            unestablishedEngines: () => [],
            isEstablished: () => true,
        } as unknown as StreamVersions;
        const gateway = { name: "g", failureDomain: "a" };
        return StreamExchange.create(exchange, placements, gateway, this.request, service, versions).run();
    }

    private async place(demand: PlacementRequest, signal: AbortSignal): Promise<PlacementResult> {
        const { attempt } = demand;
        const avoid = (demand as { avoid?: readonly string[]; }).avoid ?? [];
        const decode = ["a", "b", "c"].find(id => !avoid.includes(id));
        if (decode === undefined) {
            return { kind: "refused", attempt, reason: "no room", comeBackIn: 1 };
        }
        await this.held.get(decode);
        if (signal.aborted) {
            return undefined;
        }
        const prefill = this.separatePrefill ? { prefill: "prefill" } : {};
        return { kind: "placed", attempt, decode, by: "leader", ...prefill } as unknown as PlacementResult;
    }

    private answer(call: BackendCall): Promise<RoutedResult> {
        if (call.server.id === "prefill") {
            const isRead = this.metadata?.prefillOnly === true && call.method !== "DELETE";
            const handle = `h${this.prefills.length + 1}`;
            if (isRead) {
                this.prefills.push(handle);
                call.maySend?.();
            }
            const body = new PassThrough();
            body.end(handle);
            return Promise.resolve(
                { status: 200, rawHeaders: [], headers: {}, body, framed: true } as unknown as RoutedResult,
            );
        }
        const run = new SentRun(call.server.id, this.metadata!, call);
        this.runs.push(run);
        return run.result;
    }
}

describe("rounds beside a silent run", () => {
    // Guards against an attempt that runs on more engines than its route allows, the silent one among them.
    it("count the run that is still in progress, once one of them is lost", async () => {
        const play = new Play(2);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin().fail("reset");
        await play.advance(1);
        expect(play.runs.map(({ engine }) => engine)).to.deep.equal(["a", "b"]);
    });

    // The same, where the second run is silent as well.
    it("count the run that is still in progress, once one of them is silent", async () => {
        const play = new Play(2);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin();
        await play.advance(headLimit);
        expect(play.runs.map(({ engine }) => engine)).to.deep.equal(["a", "b"]);
    });

    // Guards against answers that are broken off for the failure of another engine.
    it("don't end it for an engine that answers with a failure", async () => {
        const play = new Play(2);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.answer(500).body.end("out of memory");
        await play.advance(1);
        expect([play.runs[0]!.isEnded, play.request.outcome()]).to.deep.equal([false, undefined]);
    });

    // Guards against a run that is ended and repeated, since the one before it turned out never to have begun.
    it("go on if the first run is turned away meanwhile", async () => {
        const play = new Play(2);
        await play.advance(headLimit);
        play.runs[1]!.begin();
        play.runs[0]!.fail("no connection");
        await play.advance(1);
        expect(play.runs.map(({ engine, isEnded }) => [engine, isEnded])).to.deep.equal([["a", false], ["b", false]]);
    });

    // Guards against a request that is sent to an engine after its answer has ended.
    it("end with those that they have begun in their turn, once the answer has ended", async () => {
        const play = new Play(3);
        let grant: () => void = () => undefined;
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin();
        const wait = new Promise<void>(resolve => {
            grant = resolve;
        });
        ["a", "b", "c"].forEach(id => play.held.set(id, wait));
        await play.advance(headLimit);
        play.runs[0]!.write(2).body.end();
        await play.advance(1);
        await play.end;
        grant();
        await play.advance(1);
        expect([play.request.outcome()?.end, play.runs.length]).to.deep.equal(["answered", 2]);
    });

    // Guards against events of two runs in one answer.
    it("end with those that they have begun in their turn, once the first run is heard", async () => {
        const play = new Play(3);
        let grant: () => void = () => undefined;
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin();
        const wait = new Promise<void>(resolve => {
            grant = resolve;
        });
        ["a", "b", "c"].forEach(id => play.held.set(id, wait));
        await play.advance(headLimit);
        play.runs[0]!.write(2);
        await play.advance(1);
        grant();
        await play.advance(1);
        expect([play.runs[0]!.isEnded, play.runs.map(({ engine }) => engine)]).to.deep.equal([false, ["a", "b"]]);
    });

    // Guards against a second run of a request at an engine that still works on it.
    it("don't place a request on the engine of its first run, which is silent too", async () => {
        const play = new Play(3);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin();
        await play.advance(headLimit);
        expect(play.runs.map(({ engine }) => engine)).to.deep.equal(["a", "b", "c"]);
    });

    // Guards against a request that two engines work on for over 400 ms, though both can be reached.
    it("leave one run 400 ms after the second one has begun", async () => {
        const play = new Play(2);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        play.runs[1]!.begin();
        await play.advance(401);
        expect(play.runs.filter(run => !run.isEnded)).to.have.length(1);
    });

    // Guards against a handle that is offered a second time, which every engine turns down.
    it("have the prompt read again if the silent run has written", async () => {
        const play = new Play(2, true);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await play.advance(idleLimit);
        expect(play.runs.map(({ metadata }) => metadata.source?.handle)).to.deep.equal(["h1", "h2"]);
    });

    // Guards against KV caches that stay at their prefill engine.
    it("free what they had read if the first run goes on", async () => {
        const play = new Play(2, true);
        await flushPromises();
        play.runs[0]!.answer().write(1);
        await flushPromises();
        // The first handle becomes too old to be offered again.
        play.clock.freeze(engineRule.handleLife - idleLimit - headLimit);
        play.runs[0]!.write(2);
        await play.advance(idleLimit);
        const unused = play.runs.at(-1)!.metadata.source?.handle;
        play.runs[0]!.write(3).body.end();
        await play.advance(1);
        await play.end;
        expect(unused).to.equal("h2");
        expect(play.freed).to.include("h2");
    });
});
