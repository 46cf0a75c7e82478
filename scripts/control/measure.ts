/**
 * Measures control daemons in separate processes: time until configuration changes are in force, rate of run records, and the cost
 * of confirming the view while idle.
 */
import * as hdr from "hdr-histogram-js";
import type { PeerControlClient } from "../../packages/basilpaddle/src/node/coordination/index.js";
import {
    type Command,
    type CommandResult,
    declarationSchema,
    type PeerAnswer,
    type PeerRequest,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { encodeFrame } from "../../packages/basilpaddle/src/node/transport/index.js";
import { ControlDeployment } from "./controlDeployment.js";

const sessionCounts = [8, 60, 360];
const changeCount = 60;
const startRunCount = 2_000;
const concurrencyLevels = [1, 16, 128];
const idleMilliseconds = 10_000;
const proposalTimeout = 20_000;

const deployment = await ControlDeployment.create();
try {
    for (const sessions of sessionCounts) {
        await deployment.addClients(sessions);
        await measureIdle(sessions);
        await measureChanges(sessions);
    }
    for (const concurrency of concurrencyLevels) {
        await measureStartRuns(concurrency);
    }
    printFrameSizes();
}
finally {
    await deployment.close();
}

async function measureIdle(sessions: number): Promise<void> {
    await sleep(2_000);
    const before = await deployment.readUsage();
    const startedAt = performance.now();
    await sleep(idleMilliseconds);
    const after = await deployment.readUsage();
    const seconds = (performance.now() - startedAt) / 1_000;
    const cores = after.map((usage, position) =>
        (usage.cpuMilliseconds - before[position]!.cpuMilliseconds) / seconds / 10
    );
    const resident = after.map(usage => usage.residentBytes / 1024 / 1024);
    console.log(
        `idle, ${sessions} sessions: % of a core ${formatValues(cores, 2)}; resident MiB ${formatValues(resident, 1)}`,
    );
}

async function measureChanges(sessions: number): Promise<void> {
    const histogram = createHistogram();
    const client = deployment.clients[0]!;
    for (let count = 0; count < changeCount; count++) {
        const base = client.view().configuration.revision;
        const change: Command = {
            kind: "changeConfiguration",
            change: {
                changeId: `change-${sessions}-${count}`,
                operator: "measurement",
                base,
                declaration: declarationSchema.parse({}),
                files: [],
                note: "",
            },
            at: Date.now(),
        };
        await recordTime(histogram, () => proposeAndCheck(client, change, "accepted"));
        const outdated = deployment.clients.filter(each => each.view().configuration.revision <= base).length;
        if (outdated > 0) {
            throw new Error(`${outdated} daemons have not applied a change that was answered as accepted`);
        }
    }
    printTimes(`configuration change until in force, ${sessions} sessions`, histogram);
}

async function measureStartRuns(concurrency: number): Promise<void> {
    const histogram = createHistogram();
    const startedAt = performance.now();
    let next = 0;
    await Promise.all(Array.from({ length: concurrency }, async (_, worker) => {
        const client = deployment.clients[worker % 8]!;
        while (next < startRunCount) {
            const key = `organisation/route/${concurrency}-${next++}`;
            const start: Command = {
                kind: "startRun",
                key,
                digest: "0123456789abcdef",
                owner: client.session(),
                token: key,
                at: Date.now(),
            };
            await recordTime(histogram, () => proposeAndCheck(client, start, "started"));
        }
    }));
    const perSecond = startRunCount / ((performance.now() - startedAt) / 1_000);
    printTimes(`startRun, ${concurrency} concurrent, ${perSecond.toFixed(0)} per second`, histogram);
}

async function proposeAndCheck(
    client: PeerControlClient,
    command: Command,
    expectedKind: CommandResult["kind"],
): Promise<void> {
    const result = (await client.propose(command, proposalTimeout)).extract();
    if (result.kind !== expectedKind) {
        throw new Error(`${command.kind} was answered ${JSON.stringify(result)}`);
    }
}

/** Prints the frame sizes of confirming a view that is up to date. */
function printFrameSizes(): void {
    const session = { daemon: "entry-100", incarnation: "8f14e45f-ceea-467f-a9d0-5b2f3e1c9a77" };
    const request: PeerRequest = {
        kind: "confirmView",
        session,
        applied: 123_456,
        revision: 789,
        renewals: [],
        wantsSteps: false,
    };
    const voters = ["control-a", "control-b", "control-c"].map(name => `${name}#measurement`);
    const answer: PeerAnswer = {
        kind: "viewAnswer",
        voter: voters[0]!,
        voting: true,
        voters,
        term: 7,
        leader: "control-a",
        appendedView: 123_456,
        committedView: 123_456,
    };
    const renewal = { id: "decode-100", incarnation: 17 };
    const requestBytes = encodeFrame({ id: 100_000, body: request }).length;
    const requestBytesWithRenewal = encodeFrame({ id: 100_000, body: { ...request, renewals: [renewal] } }).length;
    const answerBytes = encodeFrame({ answerTo: 100_000, body: answer }).length;
    console.log(
        `confirmView frames: request ${requestBytes} B, ${
            requestBytesWithRenewal - requestBytes
        } B for each renewal, answer ${answerBytes} B`,
    );
}

async function recordTime(histogram: hdr.Histogram, action: () => Promise<void>): Promise<void> {
    const startedAt = performance.now();
    await action();
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
}

function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
}

function printTimes(label: string, histogram: hdr.Histogram): void {
    const [p50, p99] = [50, 99].map(percentile => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1));
    const worst = (histogram.maxValue / 1_000).toFixed(1);
    console.log(`${label}: p50 ${p50} ms, p99 ${p99} ms, worst ${worst} ms (${histogram.totalCount} values)`);
}

function formatValues(values: readonly number[], digits: number): string {
    return values.map(value => value.toFixed(digits)).join(" / ");
}

function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
