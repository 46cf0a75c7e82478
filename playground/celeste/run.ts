import { fileURLToPath } from "node:url";
import { Deployment } from "../harness/index.js";
import { celeste, engines, services } from "./plan.js";
import { runScenarios, type ScenarioResult } from "./scenarios.js";

const configuration = fileURLToPath(new URL("configuration", import.meta.url));
const print = (text: string): boolean => process.stdout.write(`${text}\n`);

/** Starts the deployment, runs the scenarios, shuts down in order, and returns whether everything passed. */
async function run(): Promise<boolean> {
    const started = performance.now();
    print("starting 3 control and 4 entry daemons");
    const deployment = await Deployment.create(celeste);
    try {
        print(`ready after ${seconds(started)}`);
        await apply(deployment);
        await startBackends(deployment);
        const scenarios = await runScenarios(deployment);
        printScenarios(scenarios);
        print((await deployment.command("status", "--at", deployment.entries[0]!.operators)).output);
        const exitedCleanly = await shutDown(deployment);
        const passed = scenarios.every(scenario => scenario.passed) && exitedCleanly;
        print(`${passed ? "all checks passed" : "NOT ALL CHECKS PASSED"}, after ${seconds(started)}`);
        return passed;
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
        throw new Error(`config apply exited with code ${applied.code}`);
    }
}

async function startBackends(deployment: Deployment): Promise<void> {
    const started = performance.now();
    await Promise.all([
        ...engines.map(engine => deployment.addBackend("engine", engine)),
        ...services.map(service => deployment.addBackend("service", service)),
    ]);
    await deployment.waitForBackends([...engines, ...services].map(backend => backend.id));
    print(`${engines.length} engines and ${services.length} services ready after ${seconds(started)}\n`);
}

function printScenarios(scenarios: readonly ScenarioResult[]): void {
    for (const { name, passed, detail, firstToken, total } of scenarios) {
        const first = firstToken === undefined ? "" : `first token ${firstToken.toFixed(0)} ms, `;
        print(`${passed ? "passed" : "FAILED"}  ${name}: ${first}total ${total.toFixed(0)} ms\n       ${detail}`);
    }
    print("");
}

/** Stops the entry daemons before the control daemons, since they close their sessions there. */
async function shutDown(deployment: Deployment): Promise<boolean> {
    const codes: (number | undefined)[] = [];
    for (const daemons of [deployment.entries, deployment.controls]) {
        daemons.forEach(daemon => daemon.signal("SIGTERM"));
        const ends = await Promise.all(daemons.map(daemon => daemon.end()));
        codes.push(...ends.map(end => end.code));
    }
    print(`sent SIGTERM to all daemons; exit codes ${codes.join(", ")}`);
    return codes.every(code => code === 0);
}

function seconds(since: number): string {
    return `${((performance.now() - since) / 1_000).toFixed(1)} s`;
}

process.exitCode = await run() ? 0 : 1;
