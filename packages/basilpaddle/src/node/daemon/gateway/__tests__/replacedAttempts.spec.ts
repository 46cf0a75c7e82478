import { expect } from "chai";
import { Readable } from "node:stream";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { CallTally, InstanceTable, LinkQuality, ServerChoice } from "../../../coordination/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { AnswerLimits, type BackendCall } from "../../backends/index.js";
import type { ExchangeOptions } from "../backendSender.js";
import { LoopMonitor } from "../loopMonitor.js";
import { ServiceExchange } from "../serviceExchange.js";
import { createRequest } from "./fakeRequest.js";

const service = { name: "plain", healthPath: "/health", connectionLimit: 50 };
const tickMilliseconds = 20;

/** Two backend servers, of which each answers when it is told to, and a process that ticks or stands still. */
class FakeService {
    readonly clock = new ManualClock();
    readonly loop = LoopMonitor.create(this.clock);
    readonly answers = AnswerLimits.createDefault();
    readonly request = createRequest({ kind: "safe", attempts: 2, target: 1_000, timeout: 10_000 });
    readonly calls: { readonly isGivenUp: () => boolean; readonly answer: (status: number) => void; }[] = [];
    readonly takes: ((isTaken: boolean) => void)[] = [];
    admits = true;
    returned = 0;

    /** Begins the exchange of a request. */
    run(): Promise<void> {
        return ServiceExchange.create(this.options(), this.request, service).run();
    }

    async tick(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
            await this.clock.advance(tickMilliseconds);
            this.loop.activeClock.tick();
        }
    }

    /** How the request ended, and how many retries were returned. */
    outcome(): readonly [string | undefined, number] {
        return [this.request.outcome()?.end, this.returned];
    }

    async standStill(milliseconds: number): Promise<void> {
        this.clock.freeze(milliseconds);
        await this.clock.advance(0);
        this.loop.activeClock.tick();
    }

    private options(): ExchangeOptions {
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "a", service: "plain" }));
        instances.apply(announced({ id: "b", service: "plain", address: "10.0.0.2:80" }));
        return {
            wire: {
                systemHeaders: new Set(),
                keyHeaders: new Set(),
                runHeaders: () => ({}),
                parseAnswer: () => ({ attempt: undefined, sealed: true, notRun: false, instance: undefined }),
            },
            paths: { call: (call: BackendCall) => this.call(call), hasNoPath: () => false },
            answers: this.answers,
            instances,
            choice: ServerChoice.create("a"),
            tally: CallTally.create(),
            links: LinkQuality.create(),
            clock: this.clock,
            logger: createSilentLogger(),
            metrics: RecordedMetrics.create(),
            admission: {
                timeUntilRoom: () => 0,
                isOverdue: () => false,
                admit: () => Promise.resolve(this.admits),
                observeAnswer: () => undefined,
                limitOf: () => undefined,
            },
            crashes: {
                quarantineStatus: () => undefined,
                reportLostRun: () => Promise.resolve(),
                reportAnswered: () => undefined,
            },
            retryAllowance: {
                recordRequest: () => undefined,
                takeRetry: () => new Promise<boolean>(resolve => this.takes.push(resolve)),
                returnRetry: () => {
                    this.returned += 1;
                },
            },
            gateways: () => 1,
            loop: this.loop,
        } as unknown as ExchangeOptions;
    }

    private call({ signal, maySend }: BackendCall): Promise<unknown> {
        maySend?.();
        return new Promise(resolve => {
            signal.addEventListener("abort", () => resolve({ kind: "unknown", cause: "given up", lostOnPath: false }));
            this.calls.push({
                isGivenUp: () => signal.aborted,
                answer: status => {
                    const body = Readable.from([Buffer.from("own")]);
                    resolve({ status, rawHeaders: [], headers: {}, body, framed: true });
                },
            });
        });
    }
}

describe("a safe request at a server that is slow", () => {
    // Guards against an error of the gateway in place of an answer that the server would have given: no retry was left for another one.
    it("stays there while no retry is left", async () => {
        const fake = new FakeService();
        const run = fake.run();
        await fake.tick(1_700);
        fake.takes[0]?.(false);
        await fake.tick(700);
        fake.takes[1]?.(false);
        await fake.tick(100);
        expect([fake.calls.length, fake.calls[0]!.isGivenUp(), fake.takes.length]).to.deep.equal([1, false, 2]);
        fake.calls[0]!.answer(200);
        await run;
        expect(fake.outcome()).to.deep.equal(["answered", 0]);
    });

    it("is sent on once a retry is taken, which is the one that is spent", async () => {
        const fake = new FakeService();
        const run = fake.run();
        await fake.tick(1_700);
        expect(fake.calls[0]!.isGivenUp(), "before the retry is taken").to.equal(false);
        fake.takes[0]?.(true);
        await fake.tick(20);
        expect([fake.calls.length, fake.calls[0]!.isGivenUp()]).to.deep.equal([2, true]);
        fake.calls[1]!.answer(200);
        await run;
        expect([...fake.outcome(), fake.takes.length]).to.deep.equal(["answered", 0, 1]);
    });

    // Guards against an attempt that is given up for a server which then turns out to be full.
    it("stays there, and returns the retry, while no other server admits it", async () => {
        const fake = new FakeService();
        const run = fake.run();
        await fake.tick(100);
        fake.admits = false;
        await fake.tick(1_600);
        fake.takes[0]?.(true);
        await fake.tick(100);
        expect([fake.calls.length, fake.calls[0]!.isGivenUp(), fake.returned]).to.deep.equal([1, false, 1]);
        fake.calls[0]!.answer(200);
        await run;
        expect(fake.outcome()).to.deep.equal(["answered", 1]);
    });

    // Guards against an allowance that shrinks with each retry that was taken for nothing.
    it("returns the retry if the server answers meanwhile", async () => {
        const fake = new FakeService();
        const run = fake.run();
        await fake.tick(1_700);
        fake.calls[0]!.answer(200);
        await fake.tick(20);
        fake.takes[0]?.(true);
        await run;
        expect(fake.outcome()).to.deep.equal(["answered", 1]);
    });

    it("is sent on with one retry if the server fails while it is taken", async () => {
        const fake = new FakeService();
        const run = fake.run();
        await fake.tick(1_700);
        fake.calls[0]!.answer(500);
        await fake.tick(20);
        fake.takes[0]?.(true);
        await fake.tick(20);
        fake.calls[1]!.answer(200);
        await run;
        expect([...fake.outcome(), fake.takes.length]).to.deep.equal(["answered", 0, 1]);
    });

    // Guards against servers that are taken for hanging, since nobody read their answers.
    for (const milliseconds of [500, 1_500, 5_000]) {
        it(`stays there after a standstill of its gateway of ${milliseconds} ms`, async () => {
            const fake = new FakeService();
            const run = fake.run();
            await fake.tick(1_200);
            await fake.standStill(milliseconds);
            await fake.tick(200);
            expect([fake.takes.length, fake.calls[0]!.isGivenUp()]).to.deep.equal([0, false]);
            fake.calls[0]!.answer(200);
            await run;
            expect(fake.outcome()).to.deep.equal(["answered", 0]);
        });
    }
});
