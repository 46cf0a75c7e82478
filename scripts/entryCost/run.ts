import * as hdr from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Agent } from "undici";
import { HttpEngine } from "../../packages/basilpaddle/src/node/index.js";
import { answerOf } from "../../playground/standins/answer.js";

// Measures the cost of an entry daemon: calls the same fake engines directly and through the daemon, in one run.
// Run: npx tsx scripts/entryCost/run.ts

type Usage = { readonly seconds: number; readonly resident: number; };
type Urls = { readonly prefill: string; readonly decode: string; };
type Timing = { firstToken: number; tokens: number; gaps: number[]; };

const latencyCalls = 400;
/** Calls before the measurement, so that the runtime has compiled the code. */
const warmUpCalls = 400;
const latencyTokens = 6;
const concurrentStreams = 200;
const loadSeconds = 6;
/** Milliseconds between two tokens of a stream. Short where the time to the first token is measured, since it adds noise to it. */
const shortTokenTime = 1;
const tokenTime = 10;
const agent = new Agent({ connections: 400, headersTimeout: 0, bodyTimeout: 0 });
const signal = new AbortController().signal;
let attempts = 0;

function start(file: string, ...args: string[]): ChildProcess {
    return fork(fileURLToPath(new URL(file, import.meta.url)), args, { execArgv: ["--import=tsx"] });
}

function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
    return new Promise(resolve => child.once("message", message => resolve(message as Message)));
}

function readUsage(child: ChildProcess): Promise<Usage> {
    const answer = receiveMessage<Usage>(child);
    child.send("usage");
    return answer;
}

/** Requests one answer directly from the engines, with the client that the daemon uses. */
async function requestDirectly(
    prefill: HttpEngine,
    decode: HttpEngine,
    url: string,
    prompt: string,
    maxTokens: number,
) {
    const startedAt = performance.now();
    const attempt = `direct/x/${++attempts}`;
    const generation = { model: "draft", prompt, maxTokens, priority: 100, sampling: {} };
    const { handle } = (await prefill.prefill(attempt, generation, signal)).unsafeCoerce();
    (await decode.import(attempt, { url, handle }, generation, signal)).unsafeCoerce();
    const timing: Timing = { firstToken: 0, tokens: 0, gaps: [] };
    let last = 0;
    for await (const batch of decode.decodeBatches(attempt, 0, signal)) {
        const lines = batch.unsafeCoerce().filter(line => line.kind === "token");
        last = recordTokens(timing, lines.length, startedAt, last);
    }
    return timing;
}

/** Requests one answer through the daemon and checks that it is complete and belongs to this prompt. */
async function requestThroughDaemon(port: number, prompt: string, maxTokens: number): Promise<Timing> {
    const startedAt = performance.now();
    const { body } = await agent.request({
        origin: `http://127.0.0.1:${port}`,
        path: "/v1/completions",
        method: "POST",
        body: JSON.stringify({ model: "draft", prompt, max_tokens: maxTokens, stream: true }),
    });
    const timing: Timing = { firstToken: 0, tokens: 0, gaps: [] };
    let last = 0;
    let text = "";
    for await (const chunk of body as AsyncIterable<Buffer>) {
        text += chunk.toString();
        last = recordTokens(timing, chunk.toString().split("\"text\":").length - 1, startedAt, last);
    }
    const events = text.split("\n\n").filter(event => event.startsWith("data: {"));
    const answer = events.map(event => JSON.parse(event.slice(6)).choices[0].text).join("");
    if (answer !== answerOf(prompt, maxTokens).join("") || !text.endsWith("data: [DONE]\n\n")) {
        throw new Error(`the answer to ${prompt} is incomplete or belongs to another prompt`);
    }
    return { ...timing, tokens: events.length - 1 };
}

/** Measures the minimum that another process between caller and engine can add: one request that the daemon answers itself. */
async function measureRoundTrip(port: number): Promise<number> {
    const startedAt = performance.now();
    const { body } = await agent.request({ origin: `http://127.0.0.1:${port}`, path: "/healthz", method: "GET" });
    await body.text();
    return performance.now() - startedAt;
}

function recordTokens(timing: Timing, tokens: number, startedAt: number, last: number): number {
    const now = performance.now();
    if (tokens === 0) {
        return last;
    }
    if (timing.tokens === 0) {
        timing.firstToken = now - startedAt;
    }
    else {
        timing.gaps.push(now - last);
    }
    timing.tokens += tokens;
    return now;
}

function formatSummary(values: readonly number[]): string {
    const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
    values.forEach(value => histogram.recordValue(Math.max(0, Math.round(value * 1_000))));
    const formatPercentile = (percentile: number) => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
    return `p50 ${formatPercentile(50)} ms, p99 ${formatPercentile(99)} ms (${values.length} values)`;
}

async function measureLatency(port: number, urls: Urls): Promise<void> {
    const prefill = HttpEngine.create(urls.prefill);
    const decode = HttpEngine.create(urls.decode);
    const results: Record<"direct" | "through", Timing[]> = { direct: [], through: [] };
    const roundTrips: number[] = [];
    for (let call = -warmUpCalls; call < latencyCalls; call++) {
        const prompt = `prompt ${call} `.repeat(50);
        // Alternates between both, so that other load on the machine affects them equally.
        const one = await requestDirectly(prefill, decode, urls.prefill, prompt, latencyTokens);
        const other = await requestThroughDaemon(port, prompt, latencyTokens);
        const roundTrip = await measureRoundTrip(port);
        if (call >= 0) {
            roundTrips.push(roundTrip);
            results.direct.push(one);
            results.through.push(other);
        }
    }
    for (const [name, timings] of Object.entries(results)) {
        console.log(`first token, ${name}: ${formatSummary(timings.map(timing => timing.firstToken))}`);
        console.log(`between chunks, ${name}: ${formatSummary(timings.flatMap(timing => timing.gaps))}`);
    }
    const addedTimes = results.through.map((timing, place) =>
        timing.firstToken - (results.direct[place] as Timing).firstToken
    );
    addedTimes.sort((one, other) => one - other);
    const formatQuantile = (quantile: number) =>
        (addedTimes[Math.floor(addedTimes.length * quantile)] as number).toFixed(2);
    console.log(`first token, added per pair of calls: p50 ${formatQuantile(0.5)} ms, p99 ${formatQuantile(0.99)} ms`);
    console.log(`one round trip to the daemon: ${formatSummary(roundTrips)}`);
    await Promise.all([prefill.close(), decode.close()]);
}

async function measureLoad(daemon: ChildProcess, port: number, concurrent: number, maxTokens: number): Promise<void> {
    const before = await readUsage(daemon);
    const startedAt = performance.now();
    const end = startedAt + loadSeconds * 1_000;
    let tokens = 0;
    let requests = 0;
    let resident = 0;
    const usageTimer = setInterval(
        () => void readUsage(daemon).then(now => (resident = Math.max(resident, now.resident))),
        500,
    );
    await Promise.all(Array.from({ length: concurrent }, async (_, caller) => {
        while (performance.now() < end) {
            const timing = await requestThroughDaemon(
                port,
                `caller ${caller} request ${requests} `.repeat(20),
                maxTokens,
            );
            tokens += timing.tokens;
            requests++;
        }
    }));
    clearInterval(usageTimer);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readUsage(daemon);
    const cpuSeconds = after.seconds - before.seconds;
    console.log([
        `${concurrent} callers, max. ${maxTokens} tokens: ${Math.round(requests / seconds)} requests/s`,
        `${Math.round(tokens / seconds)} tokens/s`,
        `${(cpuSeconds / seconds).toFixed(2)} cores`,
        `${Math.round(tokens / cpuSeconds)} tokens and ${Math.round(requests / cpuSeconds)} requests per core second`,
        `max. resident ${Math.round(resident / 1e6)} MB`,
    ].join(", "));
}

/** Runs a part of the measurement with new engines and a new daemon. */
async function runMeasurement(time: number, part: (daemon: ChildProcess, port: number, urls: Urls) => Promise<void>) {
    const engines = start("engines.ts", String(time));
    const urls = await receiveMessage<Urls>(engines);
    const daemon = start("daemon.ts", urls.prefill, urls.decode);
    const { port } = await receiveMessage<{ readonly port: number; }>(daemon);
    console.log(`resident when idle: ${Math.round((await readUsage(daemon)).resident / 1e6)} MB`);
    await part(daemon, port, urls);
    engines.disconnect();
    daemon.disconnect();
}

await runMeasurement(shortTokenTime, (_daemon, port, urls) => measureLatency(port, urls));
await runMeasurement(tokenTime, async (daemon, port) => {
    await measureLoad(daemon, port, concurrentStreams, 128);
    await measureLoad(daemon, port, 50, 1);
});
await agent.close();
