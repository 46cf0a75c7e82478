import { expect } from "chai";
import { Readable } from "node:stream";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced, rule } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable, LinkQuality } from "../../../coordination/index.js";
import type { PlacementOutcome } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { AnswerLimits, type BackendCall } from "../../backends/index.js";
import type { ExchangeOptions } from "../backendSender.js";
import type { CallerRequest } from "../callerRequest.js";
import type { GatewayWire, RunMetadata } from "../gatewayWire.js";
import { LoopMonitor } from "../loopMonitor.js";
import type { PlacementClient } from "../placementClient.js";
import type { RoutedResult } from "../serverPaths.js";
import { StreamExchange } from "../streamExchange.js";
import type { StreamVersions } from "../streamVersions.js";
import { createRequest } from "./fakeRequest.js";

const service = { name: "pool", healthPath: "/health", connectionLimit: 50, engine: rule };

/** Engines whose prefills succeed and whose runs are all lost, and an allowance with a number of retries. */
class LosingEngines {
    readonly sent: ("prefill" | "run")[] = [];
    readonly priorities: RunMetadata["priority"][] = [];
    private retriesLeft: number;

    readonly outcomes: PlacementOutcome[] = [];

    /** `events`: the events of the only run that isn't lost. */
    constructor(retries: number, private readonly hasSeveralPriorities = false, private readonly events = "") {
        this.retriesLeft = retries;
    }

    async serve(request: CallerRequest): Promise<void> {
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "prefill", stage: "prefill" }));
        instances.apply(announced({ id: "decode", address: "10.0.0.2:80", stage: "decode" }));
        const options = {
            wire: this.wire(),
            paths: {
                call: (call: BackendCall) => Promise.resolve(this.answer(call)),
                hasNoPath: () => false,
                isLostOnPath: () => Promise.resolve(false),
            },
            answers: AnswerLimits.createDefault(),
            instances,
            links: LinkQuality.create(),
            clock: new ManualClock(),
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
            admission: { admit: () => Promise.resolve(true), observeAnswer: () => undefined },
            crashes: {
                quarantineStatus: () => undefined,
                reportLostRun: () => Promise.resolve(),
                reportAnswered: () => undefined,
                reportBegun: () => undefined,
            },
            retryAllowance: {
                recordRequest: () => undefined,
                takeRetry: () => Promise.resolve(this.retriesLeft > 0 && this.retriesLeft-- > 0),
                returnRetry: () => {
                    this.retriesLeft += 1;
                },
            },
            gateways: () => 1,
            hasSeveralPriorities: () => this.hasSeveralPriorities,
            loop: LoopMonitor.create(new ManualClock()),
        } as unknown as ExchangeOptions;
        const placements = {
            requestPlacement: () =>
                Promise.resolve({ kind: "placed", attempt: "a", prefill: "prefill", decode: "decode", by: "leader" }),
            release: (_attempt: string, outcome: PlacementOutcome) => this.outcomes.push(outcome),
            prefillCompleted: () => undefined,
            observeWriting: () => undefined,
        } as unknown as PlacementClient;
        const origin = { kind: "known", version: "", source: "own" };
        const versions = {
            begin: () => undefined,
            resolve: () => Promise.resolve(origin),
            unestablishedEngines: () => [],
            isEstablished: () => true,
        } as unknown as StreamVersions;
        const gateway = { name: "g", failureDomain: "a" };
        await StreamExchange.create(options, placements, gateway, request, service, versions).run();
    }

    private wire(): GatewayWire {
        return {
            systemHeaders: new Set(),
            keyHeaders: new Set(),
            runHeaders: (run: RunMetadata) => {
                this.sent.push(run.prefillOnly === true ? "prefill" : "run");
                this.priorities.push(run.priority);
                return {};
            },
            parseAnswer: () => ({ attempt: undefined, sealed: true, notRun: false, instance: undefined }),
            parsePrefill: () => "handle",
            freeHandle: () => ({ method: "DELETE", path: "/", headers: {} }),
        } as unknown as GatewayWire;
    }

    private answer(call: BackendCall): RoutedResult {
        const body = call.server.id === "prefill" ? "{}" : this.events;
        return body !== ""
            ? { status: 200, rawHeaders: [], headers: {}, body: Readable.from([Buffer.from(body)]), framed: true }
            : { kind: "broken", cause: "reset", wasReset: true, lostOnPath: false };
    }
}

describe("a stream", () => {
    // Guards against a service that receives more than its retry allowance: the second prefill of a resumed stream wasn't charged.
    it("is charged for its second prefill as well as for its second run", async () => {
        const withOneRetry = new LosingEngines(1);
        await withOneRetry.serve(
            createRequest({ kind: "streaming", timeout: 10_000, attempts: 2, resumable: true, prompts: true }),
        );
        expect(withOneRetry.sent).to.deep.equal(["prefill", "run"]);

        const withTwoRetries = new LosingEngines(2);
        await withTwoRetries.serve(
            createRequest({ kind: "streaming", timeout: 10_000, attempts: 2, resumable: true, prompts: true }),
        );
        expect(withTwoRetries.sent).to.deep.equal(["prefill", "run", "prefill", "run"]);
    });

    // Guards against engines that preempt urgent runs first, and against a header in deployments that didn't have it.
    it("carries its priority to the engines of a pool with several priorities only", async () => {
        const route = { kind: "streaming", attempts: 2, resumable: true, prompts: true, priority: 3 } as const;
        const prioritised = new LosingEngines(1, true);
        await prioritised.serve(createRequest(route));
        expect(prioritised.priorities).to.deep.equal([3, 3]);

        const others = new LosingEngines(1);
        await others.serve(createRequest(route));
        expect(others.priorities).to.deep.equal([undefined, undefined]);
    });

    // Guards against estimates of answers that are learned from the rest of a stream which another run began.
    it("tells the length of its answer only if this run wrote all of it", async () => {
        const lengths = [undefined, "first"].map(async resumes => {
            const engine = new LosingEngines(0, false, "id: 1\n\nid: 2\n\n");
            const request = createRequest({ kind: "streaming", timeout: 10_000, resumable: true, prompts: true });
            Object.assign(request.metadata, { resumes });
            await engine.serve(request);
            return engine.outcomes.map(({ answerEvents }) => answerEvents);
        });
        expect(await Promise.all(lengths)).to.deep.equal([[2], [undefined]]);
    });
});
