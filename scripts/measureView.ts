/**
 * Measures the cost of following the view for each entry daemon: network bytes and CPU time when idle and per change, time
 * to catch up, and memory of the view. The control daemons run in a separate process, so that their cost isn't included.
 *
 *     npx tsx scripts/measureView.ts rest|change|catchUp|steps
 *     node --expose-gc --import=tsx scripts/measureView.ts memory
 *
 * VIEW_INTERVAL sets timing.viewInterval in milliseconds; the default is 400.
 */
import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { Either } from "purify-ts";
import { PeerControlClient } from "../packages/basilpaddle/src/node/coordination/index.js";
import {
    announcementSchema,
    type Command,
    type Declaration,
    declarationSchema,
    type Timing,
    timingSchema,
    viewSchema,
    viewStepSchema,
} from "../packages/basilpaddle/src/node/protocol/index.js";
import { expandedCommand, Ledger, ViewState } from "../packages/basilpaddle/src/node/state/index.js";
import {
    encodeFrame,
    FrameReader,
    Link,
    type LinkFailure,
    Network,
    TcpNetwork,
} from "../packages/basilpaddle/src/node/transport/index.js";
import { createSilentLogger, SystemClock, SystemRandomness } from "../packages/basilpaddle/src/node/utils/index.js";
import { ControlGroup } from "../simulation/control/controlGroup.js";

type ControlAddress = { readonly name: string; readonly host: string; readonly port: number; };
type Traffic = { bytes: number; messages: number; };

const viewInterval = Number(process.env["VIEW_INTERVAL"] ?? 400);
const timing: Timing = timingSchema.parse({ viewInterval });
const logger = createSilentLogger();
const backendSizes = [15, 150, 600];
const organisationSizes = [100, 2_400, 24_000];

class CountingNetwork extends Network {
    private readonly network = TcpNetwork.create(logger);

    constructor(private readonly traffic: Traffic | undefined) {
        super();
    }

    override link(address: { readonly host: string; readonly port: number; }): Link {
        const link = this.network.link(address);
        return this.traffic === undefined ? link : new CountingLink(link, this.traffic);
    }
}

class CountingLink extends Link {
    constructor(private readonly inner: Link, private readonly traffic: Traffic) {
        super();
    }

    override async request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        this.count({ id: 1_000, body });
        const answer = await this.inner.request(body, timeout);
        answer.ifRight(value => {
            this.count({ answerTo: 1_000, body: value });
        });
        return answer;
    }

    override send(body: unknown): void {
        this.inner.send(body);
    }

    override close(): void {
        this.inner.close();
    }

    private count(frame: unknown): void {
        this.traffic.bytes += encodeFrame(frame).length;
        this.traffic.messages++;
    }
}

function createClient(controls: readonly ControlAddress[], name: string, traffic?: Traffic): PeerControlClient {
    const randomness = SystemRandomness.create();
    return PeerControlClient.create({
        session: { daemon: name, incarnation: randomness.identifier() },
        failureDomain: "pocitos",
        peers: { host: "127.0.0.1", port: 1 },
        controls,
        timing,
        network: new CountingNetwork(traffic),
        clock: SystemClock.create(),
        randomness,
        logger,
    });
}

async function withControlDaemons(
    count: number,
    work: (controls: readonly ControlAddress[]) => Promise<void>,
): Promise<void> {
    const child = fork(fileURLToPath(import.meta.url), ["serve", `${count}`], { execArgv: ["--import=tsx"] });
    const [controls] = await once(child, "message") as [readonly ControlAddress[]];
    try {
        await work(controls);
    }
    finally {
        child.send("stop");
        await once(child, "exit");
    }
}

async function serve(count: number): Promise<void> {
    const names = Array.from({ length: count }, (_, at) => `control-${at}`);
    const group = await ControlGroup.create(names, timing);
    process.send!(names.map(name => ({ name, host: "127.0.0.1", port: group.daemon(name).port() })));
    await once(process, "message");
    await group.close();
    process.disconnect();
}

const sleep = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(2);
    }
}

function createDeclaration(organisations: number, share: number): Declaration {
    return declarationSchema.parse({
        pools: { drafting: { models: [{ name: "m", version: "1" }], copies: { prefill: 2, decode: 4 } } },
        organisations: Object.fromEntries(
            Array.from({ length: organisations }, (_, at) => [`organisation-${at}`, { share: at === 0 ? share : 1 }]),
        ),
    });
}

function createChange(base: number, organisations: number): Command {
    const change = {
        changeId: `change-${organisations}-${base}`,
        operator: "ana",
        base,
        declaration: createDeclaration(organisations, base + 1),
        files: [],
        note: "",
    };
    return { kind: "changeConfiguration", change, at: Date.now() };
}

function createAnnouncement(at: number): Command {
    const announcement = announcementSchema.parse({
        id: `worker-${at}`,
        incarnation: 1,
        url: `http://10.0.${at >> 8}.${at & 255}:8000`,
        failureDomain: "pocitos",
        role: at % 3 === 0 ? "prefill" : "decode",
        pool: "drafting",
        models: [{ name: "m", version: "1", adapters: ["a", "b"] }],
        slots: 20,
    });
    return { kind: "announceBackend", announcement, at: Date.now() };
}

function printResult(result: Record<string, unknown>): void {
    console.log(JSON.stringify(result));
}

/** Reads the CPU time in milliseconds that this process has used. */
function readCpuMilliseconds(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

async function measureIdle(): Promise<void> {
    const daemons = 40;
    const seconds = 15;
    for (const controls of [3, 5]) {
        await withControlDaemons(controls, async addresses => {
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const counted = createClient(addresses, "counted", traffic);
            await until(() => counted.mayStart());
            await sleep(1_000);
            Object.assign(traffic, { bytes: 0, messages: 0 });
            await sleep(seconds * 1_000);
            const bytesPerSecond = traffic.bytes / seconds;
            const messagesPerSecond = traffic.messages / seconds;
            await counted.close();
            const clients = Array.from({ length: daemons }, (_, at) => createClient(addresses, `entry-${at}`));
            await until(() => clients.every(client => client.mayStart()));
            await sleep(3_000);
            const before = readCpuMilliseconds();
            await sleep(seconds * 1_000);
            const percentOfCore = (readCpuMilliseconds() - before) / (seconds * 10) / daemons;
            await Promise.all(clients.map(client => client.close()));
            printResult({ measured: "rest", viewInterval, controls, bytesPerSecond, messagesPerSecond, percentOfCore });
        });
    }
}

async function measureChange(): Promise<void> {
    const changes = 5;
    for (const organisations of organisationSizes) {
        await withControlDaemons(3, async addresses => {
            const operator = createClient(addresses, "operator");
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const client = createClient(addresses, "counted", traffic);
            const arrivals: number[] = [];
            client.onView(view => void arrivals.push(view.configuration.revision));
            await until(() => client.mayStart() && operator.mayStart());
            const times: number[] = [];
            const bytes: number[] = [];
            for (let base = 0; base <= changes; base++) {
                const command = createChange(base, organisations);
                const before = traffic.bytes;
                const start = performance.now();
                const result = await operator.propose(command, 60_000);
                times.push(performance.now() - start);
                await until(() => client.view().configuration.revision === base + 1);
                bytes.push(traffic.bytes - before);
                if (result.isLeft()) {
                    printResult({ undecided: result.extract() });
                }
            }
            printResult({ measured: "change", organisations, bytes, inForceMilliseconds: times.map(Math.round) });
            await client.close();
            await operator.close();
        });
    }
}

async function measureCatchUp(): Promise<void> {
    await withControlDaemons(3, async addresses => {
        const operator = createClient(addresses, "operator");
        await until(() => operator.mayStart());
        for (let at = 0; at < 500; at++) {
            await operator.propose(createAnnouncement(at), 60_000);
        }
        for (let run = 0; run < 5; run++) {
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const start = performance.now();
            const late = createClient(addresses, `late-${run}`, traffic);
            await until(() => Object.keys(late.view().backends).length === 500);
            const viewMilliseconds = performance.now() - start;
            const bytes = traffic.bytes;
            await until(() => late.mayStart());
            printResult({
                measured: "catchUp",
                viewMilliseconds,
                mayStartMilliseconds: performance.now() - start,
                bytes,
            });
            await late.close();
        }
        await operator.close();
    });
}

/** Measures the heap size of a view decoded from a frame, and the milliseconds to decode and validate it. */
function measureMemory(): void {
    for (const backends of backendSizes) {
        for (const organisations of organisationSizes) {
            const source = ViewState.create();
            source.apply(1, createChange(0, organisations));
            Array.from({ length: backends }, (_, at) => source.apply(at + 2, createAnnouncement(at)));
            const frame = encodeFrame(source.view());
            globalThis.gc!();
            const before = process.memoryUsage();
            const start = performance.now();
            const state = ViewState.fromSnapshot(viewSchema.parse(FrameReader.create().push(frame)[0]));
            const readMilliseconds = performance.now() - start;
            globalThis.gc!();
            const heapBytes = process.memoryUsage().heapUsed - before.heapUsed;
            printResult({
                measured: "memory",
                backends,
                organisations,
                frame: frame.length,
                heapBytes,
                readMilliseconds,
            });
            state.view();
        }
    }
}

/** Measures the bytes of one change's view step, and the milliseconds to decode, validate and apply it. */
function measureSteps(): void {
    const changes = 6;
    for (const organisations of organisationSizes) {
        const ledger = Ledger.create();
        const follower = ViewState.create();
        for (let base = 0; base < changes; base++) {
            ledger.apply(base + 1, createChange(base, organisations));
            const missingSteps = ledger.missingSteps({ after: base, count: 1, bytes: 10_000_000 });
            const frame = encodeFrame(missingSteps![0]);
            const start = performance.now();
            const step = viewStepSchema.parse(FrameReader.create().push(frame)[0]);
            follower.apply(step.index, expandedCommand(step, follower.view()));
            printResult({
                measured: "steps",
                organisations,
                bytes: frame.length,
                milliseconds: performance.now() - start,
            });
        }
    }
}

const measurements: Record<string, () => void | Promise<void>> = {
    rest: measureIdle,
    change: measureChange,
    catchUp: measureCatchUp,
    memory: measureMemory,
    steps: measureSteps,
    serve: () => serve(Number(process.argv[3])),
};
await measurements[process.argv[2] ?? "rest"]!();
