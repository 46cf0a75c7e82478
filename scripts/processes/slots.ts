/** Measures with real processes how long engines keep allocations of a caller that has disconnected, by stage of the request. */
import { Rig } from "../../playground/__tests__/rig.js";
import { type Backend, Deployment, pause, until } from "../../playground/harness/index.js";

const trials = 8;
const kills = 5;
/** Milliseconds between two polls of an engine; also the error of each measured time. */
const pollInterval = 5;
/** Takes half a second of prefill and half a second of transfer with the fake engines' settings below. */
const prompt = "clause ".repeat(2_900);
const engineSettings = { linkRate: 200_000_000, tokenTime: 200 };

const stages = ["prefilling", "transferring", "decoding"] as const;
type Stage = typeof stages[number];

async function countActiveAttempts(engines: readonly Backend[]): Promise<number> {
    return (await Promise.all(engines.map(engine => engine.activeAttempts()))).flat().length;
}

/** Lists the active attempts of the engines of a role, each with its record at the engine. */
async function findActiveAttempts(deployment: Deployment, role: "prefill" | "decode") {
    const engines = [...deployment.backends.values()].filter(({ id }) => id.startsWith(role));
    const attempts = await Promise.all(engines.map(async engine => {
        const [active, records] = await Promise.all([engine.activeAttempts(), engine.attemptRecords()]);
        return active.map(attempt => ({ attempt, record: records[attempt] }));
    }));
    return attempts.flat();
}

async function hasReached(stage: Stage, deployment: Deployment): Promise<boolean> {
    if (stage === "prefilling") {
        return (await findActiveAttempts(deployment, "prefill")).length > 0;
    }
    const decodes = await findActiveAttempts(deployment, "decode");
    return decodes.some(({ record }) => stage === "transferring" || (record?.tokens ?? 0) > 0);
}

/** Whether an engine received a cancellation of the attempt, rather than finishing it. */
async function wasCancelled(deployment: Deployment, attempt: string): Promise<boolean> {
    const engines = [...deployment.backends.values()].filter(({ id }) => id.startsWith("decode"));
    const recordsByEngine = await Promise.all(engines.map(engine => engine.attemptRecords()));
    return recordsByEngine.some(records => (records[attempt]?.cancels ?? 0) > 0);
}

async function waitUntilReleased(engines: readonly Backend[], since: number): Promise<number> {
    const end = performance.now() + 60_000;
    while (await countActiveAttempts(engines) > 0) {
        if (performance.now() > end) {
            throw new Error("engines still have active attempts after a minute");
        }
        await pause(pollInterval);
    }
    return performance.now() - since;
}

async function waitUntilReached(stage: Stage, rig: Rig): Promise<void> {
    const end = performance.now() + 20_000;
    while (!await hasReached(stage, rig.deployment)) {
        if (performance.now() > end) {
            throw new Error(`no request reached stage ${stage}`);
        }
        await pause(pollInterval);
    }
}

function sendRequest(rig: Rig, index: number, trial: string, signal: AbortSignal): void {
    const { host, port } = rig.entry(index).settings.callers;
    const body = { model: "draft", max_tokens: 120, stream: true, prompt: `${trial} ${prompt}` };
    void fetch(`http://${host}:${port}/v1/completions`, { method: "POST", body: JSON.stringify(body), signal })
        .then(answer => answer.text())
        .catch(() => undefined);
}

function printTimes(name: string, times: readonly number[]): void {
    const sorted = [...times].sort((one, other) => one - other);
    if (sorted.length === 0) {
        return;
    }
    const median = sorted[Math.floor(sorted.length / 2)]!;
    process.stdout.write(
        `${name}: ${sorted.length} trials, median ${median.toFixed(0)} ms, worst ${sorted.at(-1)!.toFixed(0)} ms\n`,
    );
}

const rig = await Rig.create(false, engineSettings);
try {
    const engines = [...rig.deployment.backends.values()].filter(({ id }) => !id.startsWith("policy"));
    for (const stage of stages) {
        const times: number[] = [];
        for (let trial = 0; trial < trials; trial++) {
            const caller = new AbortController();
            sendRequest(rig, trial % 3, `${stage} ${trial}`, caller.signal);
            await waitUntilReached(stage, rig);
            const since = performance.now();
            caller.abort();
            times.push(await waitUntilReleased(engines, since));
        }
        printTimes(`caller disconnected while ${stage}`, times);
    }
    const times: number[] = [];
    for (let trial = 0; trial < kills; trial++) {
        sendRequest(rig, trial % 3, `kill ${trial}`, new AbortController().signal);
        await until("a stream", () => hasReached("decoding", rig.deployment));
        const [decoding] = await findActiveAttempts(rig.deployment, "decode");
        const since = performance.now();
        await rig.entry(trial % 3).kill();
        const releaseTime = await waitUntilReleased(engines, since);
        if (decoding !== undefined && await wasCancelled(rig.deployment, decoding.attempt)) {
            times.push(releaseTime);
        }
        await rig.restartStopped();
    }
    process.stdout.write(`${kills - times.length} of ${kills} answers finished before they were cancelled\n`);
    printTimes("entry daemon killed while decoding", times);
}
finally {
    await rig.close();
}
