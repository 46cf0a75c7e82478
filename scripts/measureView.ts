/**
 * Measures what following the view costs each entry daemon: bytes and processor time at rest and for each change, time
 * to catch up, and memory of the view. The control daemons run in a process of their own, so that their cost stays out.
 *
 *     npx tsx scripts/measureView.ts rest|change|catchUp|steps
 *     node --expose-gc --import=tsx scripts/measureView.ts memory
 *
 * VIEW_INTERVAL sets timing.viewInterval in milliseconds; 400 where it is left out.
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

type Control = { readonly name: string; readonly host: string; readonly port: number; };
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

function clientOf(controls: readonly Control[], name: string, traffic?: Traffic): PeerControlClient {
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

async function withControls(count: number, work: (controls: readonly Control[]) => Promise<void>): Promise<void> {
    const child = fork(fileURLToPath(import.meta.url), ["serve", `${count}`], { execArgv: ["--import=tsx"] });
    const [controls] = await once(child, "message") as [readonly Control[]];
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

function declaration(organisations: number, share: number): Declaration {
    return declarationSchema.parse({
        pools: { drafting: { models: [{ name: "m", version: "1" }], copies: { prefill: 2, decode: 4 } } },
        organisations: Object.fromEntries(
            Array.from({ length: organisations }, (_, at) => [`organisation-${at}`, { share: at === 0 ? share : 1 }]),
        ),
    });
}

function changeOf(base: number, organisations: number): Command {
    const change = {
        changeId: `change-${organisations}-${base}`,
        operator: "ana",
        base,
        declaration: declaration(organisations, base + 1),
        files: [],
        note: "",
    };
    return { kind: "changeConfiguration", change, at: Date.now() };
}

function announceOf(at: number): Command {
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

function report(figure: Record<string, unknown>): void {
    console.log(JSON.stringify(figure));
}

/** Processor milliseconds of this process so far. */
function processorTime(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

async function rest(): Promise<void> {
    const daemons = 40;
    const seconds = 15;
    for (const controls of [3, 5]) {
        await withControls(controls, async addresses => {
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const counted = clientOf(addresses, "counted", traffic);
            await until(() => counted.mayStart());
            await sleep(1_000);
            Object.assign(traffic, { bytes: 0, messages: 0 });
            await sleep(seconds * 1_000);
            const bytesPerSecond = traffic.bytes / seconds;
            const messagesPerSecond = traffic.messages / seconds;
            await counted.close();
            const clients = Array.from({ length: daemons }, (_, at) => clientOf(addresses, `entry-${at}`));
            await until(() => clients.every(client => client.mayStart()));
            await sleep(3_000);
            const before = processorTime();
            await sleep(seconds * 1_000);
            const percentOfCore = (processorTime() - before) / (seconds * 10) / daemons;
            await Promise.all(clients.map(client => client.close()));
            report({ measured: "rest", viewInterval, controls, bytesPerSecond, messagesPerSecond, percentOfCore });
        });
    }
}

async function change(): Promise<void> {
    const changes = 5;
    for (const organisations of organisationSizes) {
        await withControls(3, async addresses => {
            const operator = clientOf(addresses, "operator");
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const client = clientOf(addresses, "counted", traffic);
            const arrivals: number[] = [];
            client.onView(view => void arrivals.push(view.configuration.revision));
            await until(() => client.mayStart() && operator.mayStart());
            const times: number[] = [];
            const bytes: number[] = [];
            for (let base = 0; base <= changes; base++) {
                const command = changeOf(base, organisations);
                const before = traffic.bytes;
                const start = performance.now();
                const result = await operator.propose(command, 60_000);
                times.push(performance.now() - start);
                await until(() => client.view().configuration.revision === base + 1);
                bytes.push(traffic.bytes - before);
                if (result.isLeft()) {
                    report({ undecided: result.extract() });
                }
            }
            report({ measured: "change", organisations, bytes, inForceMilliseconds: times.map(Math.round) });
            await client.close();
            await operator.close();
        });
    }
}

async function catchUp(): Promise<void> {
    await withControls(3, async addresses => {
        const operator = clientOf(addresses, "operator");
        await until(() => operator.mayStart());
        for (let at = 0; at < 500; at++) {
            await operator.propose(announceOf(at), 60_000);
        }
        for (let run = 0; run < 5; run++) {
            const traffic: Traffic = { bytes: 0, messages: 0 };
            const start = performance.now();
            const late = clientOf(addresses, `late-${run}`, traffic);
            await until(() => Object.keys(late.view().backends).length === 500);
            const viewMilliseconds = performance.now() - start;
            const bytes = traffic.bytes;
            await until(() => late.mayStart());
            report({ measured: "catchUp", viewMilliseconds, mayStartMilliseconds: performance.now() - start, bytes });
            await late.close();
        }
        await operator.close();
    });
}

/** Bytes of heap that the view takes as it comes from a frame, and the milliseconds to read and check it. */
function memory(): void {
    for (const backends of backendSizes) {
        for (const organisations of organisationSizes) {
            const source = ViewState.create();
            source.apply(1, changeOf(0, organisations));
            Array.from({ length: backends }, (_, at) => source.apply(at + 2, announceOf(at)));
            const frame = encodeFrame(source.view());
            globalThis.gc!();
            const before = process.memoryUsage();
            const start = performance.now();
            const state = ViewState.fromSnapshot(viewSchema.parse(FrameReader.create().push(frame)[0]));
            const readMilliseconds = performance.now() - start;
            globalThis.gc!();
            const heapBytes = process.memoryUsage().heapUsed - before.heapUsed;
            report({ measured: "memory", backends, organisations, frame: frame.length, heapBytes, readMilliseconds });
            state.view();
        }
    }
}

/** Bytes of the step of one change, and the milliseconds in which a daemon reads, checks and applies it. */
function steps(): void {
    const changes = 6;
    for (const organisations of organisationSizes) {
        const ledger = Ledger.create();
        const follower = ViewState.create();
        for (let base = 0; base < changes; base++) {
            ledger.apply(base + 1, changeOf(base, organisations));
            const news = ledger.missingSteps({ after: base, count: 1, bytes: 10_000_000 });
            const frame = encodeFrame(news![0]);
            const start = performance.now();
            const step = viewStepSchema.parse(FrameReader.create().push(frame)[0]);
            follower.apply(step.index, expandedCommand(step, follower.view()));
            report({ measured: "steps", organisations, bytes: frame.length, milliseconds: performance.now() - start });
        }
    }
}

const work: Record<string, () => void | Promise<void>> = {
    rest,
    change,
    catchUp,
    memory,
    steps,
    serve: () => serve(Number(process.argv[3])),
};
await work[process.argv[2] ?? "rest"]!();
