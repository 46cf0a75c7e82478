import * as hdr from "hdr-histogram-js";
import {
    announcementSchema,
    type EngineEntry,
    PoolScheduler,
    poolSchema,
    type SchedulerEvent,
    type SchedulingRequest,
    SeededRandomness,
} from "../../packages/basilpaddle/src/node/index.js";

const measuredRequests = 2_000;
const warmUpRequests = 500;
const slots = 20;
const prefillShare = 0.4;

function engines(workers: number): readonly EngineEntry[] {
    return Array.from({ length: workers }, (_, position) => ({
        announcement: announcementSchema.parse({
            id: `engine-${position}`,
            incarnation: 1,
            url: `http://127.0.0.1:1/${position}`,
            failureDomain: `domain-${position % 7}`,
            role: position < workers * prefillShare ? "prefill" : "decode",
            pool: "drafts",
            models: [{ name: "draft", version: "v1" }],
            slots,
        }),
        state: "ready" as const,
    }));
}

function createRequest(serial: number): SchedulingRequest {
    return {
        attempt: `entry-1/incarnation-1/${serial}`,
        owner: { daemon: "entry-1", incarnation: "incarnation-1" },
        pool: "drafts",
        model: "draft",
        organisation: `organisation-${serial % 24_000}`,
        failureDomain: "domain-1",
        promptTokens: 4_000,
        maxTokens: 600,
        expectedTokens: 300,
        prefixes: Array.from({ length: 16 }, (_, block) => block < 4 ? `house:${block}` : `${serial}:${block}`),
        blockTokens: 256,
        priority: 100,
        firstTokenWithin: 1e9,
        deadlineWithin: 2e9,
        alreadySent: 0,
        once: false,
        avoid: [],
    };
}

/** A pool whose slots are all allocated, with a queue of waiting requests. */
class FullPool {
    readonly scheduler = PoolScheduler.create({ fence: 1, warm: true });
    readonly running: string[] = [];
    now = 0;
    private serial = 0;

    constructor(workers: number, queue: number) {
        const pool = poolSchema.parse({
            models: [{ name: "draft", version: "v1" }],
            copies: { prefill: 1, decode: 1 },
            queueLimit: 1_000_000,
        });
        const rules = { pool, organisations: {}, anyOrganisation: { share: 1, openRequests: 1_000_000 } };
        this.step({ kind: "rules", rules });
        this.step({ kind: "engines", engines: engines(workers) });
        const requestCount = (1 - prefillShare) * workers * slots + queue;
        while (this.serial < requestCount || this.scheduler.status().queuedCount < queue) {
            this.addRequest();
            this.now += 1;
        }
    }

    addRequest(): void {
        this.step({ kind: "demand", demand: createRequest(this.serial++) });
    }

    /** Finishes the request that was assigned first. */
    finishOldest(): void {
        const attempt = this.running.shift();
        if (attempt !== undefined) {
            this.step({ kind: "progress", progress: { attempt, stage: "finished", tokens: 300 } });
        }
    }

    step(event: SchedulerEvent): void {
        const events = [event];
        for (let next = events.shift(); next !== undefined; next = events.shift()) {
            for (const decision of this.scheduler.step(next, this.now)) {
                if (decision.kind === "assigned") {
                    this.running.push(decision.attempt);
                    for (const stage of ["prefilled", "transferred", "firstToken"] as const) {
                        events.push({ kind: "progress", progress: { attempt: decision.attempt, stage, tokens: 0 } });
                    }
                }
            }
        }
    }
}

function measure(workers: number, queue: number): string {
    const pool = new FullPool(workers, queue);
    const randomness = SeededRandomness.create(1);
    const requestTimes = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 1e9,
        numberOfSignificantValueDigits: 3,
    });
    const tickTimes = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 1e9,
        numberOfSignificantValueDigits: 3,
    });
    for (let count = 0; count < warmUpRequests + measuredRequests; count++) {
        pool.now += randomness.integer(1, 4);
        const before = process.hrtime.bigint();
        pool.addRequest();
        pool.finishOldest();
        const middle = process.hrtime.bigint();
        pool.step({ kind: "tick" });
        const after = process.hrtime.bigint();
        if (count >= warmUpRequests) {
            requestTimes.recordValue(Number(middle - before));
            tickTimes.recordValue(Number(after - middle));
        }
    }
    const microseconds = (value: number): string => (value / 1_000).toFixed(1).padStart(9);
    return [
        String(workers).padStart(7),
        String(queue).padStart(6),
        microseconds(requestTimes.mean),
        microseconds(requestTimes.getValueAtPercentile(50)),
        microseconds(requestTimes.getValueAtPercentile(99)),
        microseconds(tickTimes.mean),
    ].join(" ");
}

function heap(): number {
    if (globalThis.gc === undefined) {
        throw new Error(
            "run with --expose-gc, as npm run rig:cost does: heap sizes without a garbage collection are meaningless",
        );
    }
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}

console.log(
    "workers  queue   mean us    p50 us    p99 us   tick us (one request: its demand, 3 progress, 1 end, and their decisions)",
);
for (const workers of [15, 150, 600]) {
    for (const queue of [10, 100, 1_000]) {
        console.log(measure(workers, queue));
    }
}
for (const queue of [1_000, 10_000, 50_000]) {
    const before = heap();
    const pool = new FullPool(15, queue);
    const bytes = heap() - before;
    const organisations = Math.min(queue, 24_000);
    console.log(
        `${queue} waiting requests of ${organisations} organisations: ${bytes} bytes, ${
            (bytes / queue).toFixed(0)
        } each`,
    );
    pool.finishOldest();
}
