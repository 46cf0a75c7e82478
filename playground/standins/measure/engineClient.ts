import { fork } from "node:child_process";
import { once } from "node:events";
import { HttpEngine } from "../../../packages/basilpaddle/src/node/index.js";

/** Measures the CPU time that HttpEngine takes per token: `node --import=tsx playground/standins/measure/engineClient.ts` */
const neverAborted = new AbortController().signal;

async function readStream(engine: HttpEngine, attempt: string, batches: boolean): Promise<number> {
    let tokens = 0;
    if (batches) {
        for await (const batch of engine.decodeBatches(attempt, 0, neverAborted)) {
            tokens += batch.unsafeCoerce().length;
        }
        return tokens;
    }
    for await (const line of engine.decode(attempt, 0, neverAborted)) {
        tokens += line.isRight() ? 1 : 0;
    }
    return tokens;
}

async function measure(url: string, name: string, streams: number, tokens: number, interval: number, batches: boolean) {
    const engine = HttpEngine.create(url);
    await Promise.all(Array.from({ length: streams }, (_, n) => readStream(engine, `20/${interval}/${n}`, batches)));
    const cpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    const read = await Promise.all(
        Array.from({ length: streams }, (_, n) => readStream(engine, `${tokens}/${interval}/${n}`, batches)),
    );
    const seconds = (performance.now() - startedAt) / 1_000;
    const cpu = process.cpuUsage(cpuBefore);
    const lines = read.reduce((sum, one) => sum + one, 0);
    const microseconds = (cpu.user + cpu.system) / lines;
    console.log(JSON.stringify({
        name,
        streams,
        tokensPerSecond: Math.round(lines / seconds),
        cpuMicrosecondsPerToken: Number(microseconds.toFixed(2)),
        tokensPerSecondOfOneCore: Math.round(1e6 / microseconds),
    }));
    await engine.close();
}

const server = fork(new URL("./tokenServer.ts", import.meta.url), { execArgv: ["--import=tsx"] });
const [port] = await once(server, "message") as [number];
const url = `http://127.0.0.1:${port}`;
for (let run = 0; run < 3; run++) {
    await measure(url, "a token a piece, every 20 ms, batches", 100, 250, 20, true);
    await measure(url, "a token a piece, every 20 ms, batches", 400, 250, 20, true);
    await measure(url, "fifty tokens a piece, batches", 20, 50_000, 0, true);
    await measure(url, "fifty tokens a piece, line by line", 20, 50_000, 0, false);
}
server.kill();
