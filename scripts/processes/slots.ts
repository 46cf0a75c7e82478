/** Measures over real processes how long an engine holds something for a caller who has gone, by stage. */
import { Rig } from "../../playground/__tests__/rig.js";
import { type Backend, Deployment, pause, until } from "../../playground/harness/index.js";

const trials = 8;
const kills = 5;
/** Milliseconds between two looks at an engine; the error of each figure. */
const look = 5;
/** Half a second of prefill and half a second of transfer by the stand-ins' settings below. */
const prompt = "clause ".repeat(2_900);
const engineSettings = { linkRate: 200_000_000, tokenTime: 200 };

const stages = ["prefilling", "transferring", "decoding"] as const;
type Stage = typeof stages[number];

async function heldBy(engines: readonly Backend[]): Promise<number> {
    return (await Promise.all(engines.map(engine => engine.activeAttempts()))).flat().length;
}

/** What the engines of a role hold now, with what each of these attempts ran there. */
async function holding(deployment: Deployment, role: "prefill" | "decode") {
    const engines = [...deployment.backends.values()].filter(({ id }) => id.startsWith(role));
    const all = await Promise.all(engines.map(async engine => {
        const [held, ran] = await Promise.all([engine.activeAttempts(), engine.attemptRecords()]);
        return held.map(attempt => ({ attempt, ran: ran[attempt] }));
    }));
    return all.flat();
}

async function isIn(stage: Stage, deployment: Deployment): Promise<boolean> {
    if (stage === "prefilling") {
        return (await holding(deployment, "prefill")).length > 0;
    }
    const decodes = await holding(deployment, "decode");
    return decodes.some(({ ran }) => stage === "transferring" || (ran?.tokens ?? 0) > 0);
}

/** Whether the engines were told to give the attempt up, rather than having come to its end. */
async function wasCancelled(deployment: Deployment, attempt: string): Promise<boolean> {
    const engines = [...deployment.backends.values()].filter(({ id }) => id.startsWith("decode"));
    const ran = await Promise.all(engines.map(engine => engine.attemptRecords()));
    return ran.some(all => (all[attempt]?.cancels ?? 0) > 0);
}

async function freed(engines: readonly Backend[], since: number): Promise<number> {
    const end = performance.now() + 60_000;
    while (await heldBy(engines) > 0) {
        if (performance.now() > end) {
            throw new Error("engines hold something for a minute");
        }
        await pause(look);
    }
    return performance.now() - since;
}

async function waitFor(stage: Stage, rig: Rig): Promise<void> {
    const end = performance.now() + 20_000;
    while (!await isIn(stage, rig.deployment)) {
        if (performance.now() > end) {
            throw new Error(`no request came to ${stage}`);
        }
        await pause(look);
    }
}

function ask(rig: Rig, index: number, trial: string, signal: AbortSignal): void {
    const { host, port } = rig.entry(index).settings.callers;
    const body = { model: "draft", max_tokens: 120, stream: true, prompt: `${trial} ${prompt}` };
    void fetch(`http://${host}:${port}/v1/completions`, { method: "POST", body: JSON.stringify(body), signal })
        .then(answer => answer.text())
        .catch(() => undefined);
}

function print(name: string, figures: readonly number[]): void {
    const sorted = [...figures].sort((one, other) => one - other);
    if (sorted.length === 0) {
        return;
    }
    const middle = sorted[Math.floor(sorted.length / 2)]!;
    process.stdout.write(
        `${name}: ${sorted.length} trials, median ${middle.toFixed(0)} ms, worst ${sorted.at(-1)!.toFixed(0)} ms\n`,
    );
}

const rig = await Rig.create(false, engineSettings);
try {
    const engines = [...rig.deployment.backends.values()].filter(({ id }) => !id.startsWith("policy"));
    for (const stage of stages) {
        const figures: number[] = [];
        for (let trial = 0; trial < trials; trial++) {
            const caller = new AbortController();
            ask(rig, trial % 3, `${stage} ${trial}`, caller.signal);
            await waitFor(stage, rig);
            const since = performance.now();
            caller.abort();
            figures.push(await freed(engines, since));
        }
        print(`caller gone while ${stage}`, figures);
    }
    const figures: number[] = [];
    for (let trial = 0; trial < kills; trial++) {
        ask(rig, trial % 3, `kill ${trial}`, new AbortController().signal);
        await until("a stream", () => isIn("decoding", rig.deployment));
        const [held] = await holding(rig.deployment, "decode");
        const since = performance.now();
        await rig.entry(trial % 3).kill();
        const time = await freed(engines, since);
        if (held !== undefined && await wasCancelled(rig.deployment, held.attempt)) {
            figures.push(time);
        }
        await rig.restartStopped();
    }
    process.stdout.write(`${kills - figures.length} of ${kills} answers ended by themselves first\n`);
    print("entry daemon killed while decoding", figures);
}
finally {
    await rig.close();
}
