import { expect } from "chai";
import { Readable } from "node:stream";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { CallTally, InstanceTable, LinkQuality, ServerChoice } from "../../../coordination/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { AnswerLimits } from "../../backends/index.js";
import type { ExchangeOptions } from "../backendSender.js";
import { LoopMonitor } from "../loopMonitor.js";
import { ServiceExchange } from "../serviceExchange.js";
import { createRequest } from "./fakeRequest.js";

const service = { name: "plain", healthPath: "/health", connectionLimit: 50 };

describe("a request of a plain service", () => {
    // Guards against a server's answer that is replaced by an error of the gateway, because no path is left for another try.
    it("gets the server's failure where no path is left for another try", async () => {
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "a", service: "plain" }));
        instances.apply(announced({ id: "b", service: "plain", address: "10.0.0.2:80" }));
        let calls = 0;
        const answers = AnswerLimits.createDefault();
        const keptBytes: number[] = [];
        const options = {
            wire: {
                systemHeaders: new Set(),
                keyHeaders: new Set(),
                runHeaders: () => ({}),
                parseAnswer: () => ({ attempt: undefined, sealed: true, notRun: false, instance: undefined }),
            },
            paths: {
                call: () => {
                    calls += 1;
                    const body = Readable.from([Buffer.from("own")]);
                    return Promise.resolve({ status: 500, rawHeaders: [], headers: {}, body, framed: true });
                },
                hasNoPath: () => {
                    keptBytes.push(answers.held.bytes);
                    return calls > 0;
                },
            },
            answers,
            instances,
            choice: ServerChoice.create("a"),
            tally: CallTally.create(),
            links: LinkQuality.create(),
            clock: new ManualClock(),
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
            admission: {
                timeUntilRoom: () => 0,
                isOverdue: () => false,
                admit: () => Promise.resolve(true),
                observeAnswer: () => undefined,
                limitOf: () => undefined,
            },
            crashes: { quarantineStatus: () => undefined, reportLostRun: () => Promise.resolve() },
            retryAllowance: { recordRequest: () => undefined, takeRetry: () => Promise.resolve(true) },
            gateways: () => 1,
            loop: LoopMonitor.create(new ManualClock()),
        } as unknown as ExchangeOptions;
        const request = createRequest({ kind: "safe", attempts: 2 });
        await ServiceExchange.create(options, request, service).run();
        expect(request.outcome()).to.deep.equal({ end: "failureGiven", cause: "status 500" });
        expect(calls).to.equal(1);
        expect([keptBytes.at(-1), answers.held.bytes], "while it is kept, and after").to.deep.equal([3, 0]);
    });
});
