import { fileURLToPath } from "node:url";
import { Deployment } from "../harness/index.js";
import { celeste, engines, services } from "./plan.js";
import { playScenes, type Scene } from "./scenes.js";

const configuration = fileURLToPath(new URL("configuration", import.meta.url));
const print = (text: string): boolean => process.stdout.write(`${text}\n`);

/** Brings the deployment up, plays the scenes, shuts down in order, and tells whether all was right. */
async function run(): Promise<boolean> {
    const started = performance.now();
    print("starting 3 control and 4 entry daemons");
    const deployment = await Deployment.create(celeste);
    try {
        print(`ready after ${seconds(started)}`);
        await apply(deployment);
        await startBackends(deployment);
        const scenes = await playScenes(deployment);
        printScenes(scenes);
        print((await deployment.command("status", "--at", deployment.entries[0]!.operators)).output);
        const ended = await shutDown(deployment);
        const right = scenes.every(scene => scene.right) && ended;
        print(`${right ? "all was right" : "NOT ALL WAS RIGHT"}, after ${seconds(started)}`);
        return right;
    }
    finally {
        await deployment.close();
    }
}

async function apply(deployment: Deployment): Promise<void> {
    const at = deployment.entries[1]!.operators;
    const applied = await deployment.command("config", "apply", configuration, "--operator", "playground", "--at", at);
    print(applied.output.trim());
    if (applied.code !== 0) {
        throw new Error(`config apply ended with ${applied.code}`);
    }
}

async function startBackends(deployment: Deployment): Promise<void> {
    const started = performance.now();
    await Promise.all([
        ...engines.map(engine => deployment.addBackend("engine", engine)),
        ...services.map(service => deployment.addBackend("service", service)),
    ]);
    await deployment.waitForBackends([...engines, ...services].map(backend => backend.id));
    print(`${engines.length} engines and ${services.length} services announced themselves after ${seconds(started)}\n`);
}

function printScenes(scenes: readonly Scene[]): void {
    for (const { name, right, shown, firstToken, total } of scenes) {
        const first = firstToken === undefined ? "" : `first token ${firstToken.toFixed(0)} ms, `;
        print(`${right ? "right" : "WRONG"}  ${name}: ${first}whole ${total.toFixed(0)} ms\n       ${shown}`);
    }
    print("");
}

/** Ends the entry daemons before the control daemons, which they close their sessions with. */
async function shutDown(deployment: Deployment): Promise<boolean> {
    const codes: (number | undefined)[] = [];
    for (const daemons of [deployment.entries, deployment.controls]) {
        daemons.forEach(daemon => daemon.signal("SIGTERM"));
        const ends = await Promise.all(daemons.map(daemon => daemon.end()));
        codes.push(...ends.map(end => end.code));
    }
    print(`all daemons were told to stop; exit codes ${codes.join(", ")}`);
    return codes.every(code => code === 0);
}

function seconds(since: number): string {
    return `${((performance.now() - since) / 1_000).toFixed(1)} s`;
}

process.exitCode = await run() ? 0 : 1;
