import { mkdir, writeFile } from "node:fs/promises";
import * as path from "node:path";
import { type Backend, Caller, Deployment, type ModelCall, setUpTimeoutMilliseconds } from "../harness/index.js";

/** The model that every configuration of these tests contains. */
export const model = "draft";
/** A model that some configurations contain. */
export const secondModel = "draft-2";

const models = [model, secondModel].map(name => ({ name, version: "1" }));
const domains = ["pocitos", "carrasco", "ciudad-vieja"];
/** Timing of the daemons, in milliseconds. Short, so that leases expire within a test; long enough for a loaded machine. */
export const timing = {
    viewLease: 1_200,
    viewInterval: 150,
    sessionTimeout: 1_800,
    backendTimeout: 3_000,
    heartbeatInterval: 80,
    electionTimeout: 500,
};

/** Settings that a test may set for its engines. */
export type EngineOverrides = {
    readonly weightStore?: string;
    readonly checksFence?: boolean;
    readonly linkRate?: number;
    readonly tokenTime?: number;
    readonly diesUnder?: string;
};

const diagnosticMetrics =
    /^basilpaddle_(slots_held|queue|scheduler|may_start|open_requests|view_|answers|refusals|retries|cancels)/;

/** A small deployment with helper methods for failure tests. */
export class Rig {
    private configurationCount = 0;

    private constructor(readonly deployment: Deployment) {}

    /** Starts everything and applies a first configuration. */
    static async create(relayed = false, overrides: EngineOverrides = {}): Promise<Rig> {
        const plan = { cluster: "tests", failureDomains: domains, controls: 3, entries: 3, timing, relayed };
        const rig = new Rig(await Deployment.create(plan));
        try {
            await Promise.all([
                ...[1, 2].map(index => rig.addEngine(`prefill-${index}`, "prefill", overrides)),
                ...[1, 2].map(index => rig.addEngine(`decode-${index}`, "decode", overrides)),
                rig.deployment.addBackend("service", { id: "policy-1", ...{ service: "policy" } }),
            ]);
            await rig.apply(0, [model, secondModel], "", setUpTimeoutMilliseconds);
            const backends = ["prefill-1", "prefill-2", "decode-1", "decode-2", "policy-1"];
            await rig.deployment.waitForBackends(backends, undefined, setUpTimeoutMilliseconds);
            return rig;
        }
        catch (error) {
            await rig.close();
            throw error;
        }
    }

    /** Starts another engine stand-in. */
    addEngine(id: string, role: "prefill" | "decode", overrides: EngineOverrides = {}): Promise<Backend> {
        return this.deployment.addBackend("engine", { ...engineSettings(id, role), ...overrides });
    }

    /** Starts another engine stand-in that daemons reach only through a relay. */
    addRelayedEngine(id: string, role: "prefill" | "decode") {
        return this.deployment.addRelayedBackend("engine", engineSettings(id, role));
    }

    entry(index: number) {
        return this.deployment.entries[index]!;
    }

    caller(index: number): Caller {
        return Caller.create(this.entry(index));
    }

    /** Applies a configuration with these models and returns its revision. The limit is in milliseconds. */
    async apply(
        entryIndex: number,
        modelNames: readonly string[],
        note = "",
        limit = 20_000,
        version = "1",
    ): Promise<number> {
        const folder = path.join(this.deployment.folder, `configuration-${++this.configurationCount}`);
        await mkdir(folder);
        const pool = {
            models: modelNames.map(name => ({ name, version })),
            copies: { prefill: 2, decode: 2 },
            targets: { firstToken: 20_000, perToken: 1_000 },
        };
        await writeFile(path.join(folder, "10-drafting.json"), JSON.stringify({ pools: { drafting: pool } }));
        const services = { policy: { pathPrefix: "/policy" } };
        await writeFile(path.join(folder, "20-policy.json"), JSON.stringify({ services }));
        const at = this.entry(entryIndex).operators;
        const commandOptions = [
            "--operator",
            "tester",
            "--note",
            note,
            "--timeout",
            String(limit),
            "--at",
            at,
            "--json",
        ];
        const done = await this.deployment.command("config", "apply", folder, ...commandOptions);
        if (done.code !== 0) {
            throw new Error(`config apply ended with ${done.code}: ${done.output}`);
        }
        return (JSON.parse(done.output) as { result: { revision: number; }; }).result.revision;
    }

    /** Number of attempts that started decoding, over all running decode engines. */
    async decodeCount(): Promise<number> {
        const engines = [...this.deployment.backends.values()].filter(backend => backend.id.startsWith("decode"));
        const ran = await Promise.all(engines.map(engine => engine.attemptRecords().catch(() => ({}))));
        return ran.flatMap(attempts => Object.values(attempts)).filter(attempt => attempt.decodes > 0).length;
    }

    /** Metrics of all entry daemons and active attempts of all engines. Printed on failure: logs alone don't show what waits. */
    async diagnostics(): Promise<string> {
        const entries = this.deployment.entries.map(async entry => {
            const answer = await fetch(`http://${entry.operators}/metrics`, { signal: AbortSignal.timeout(2_000) });
            const metricLines = (await answer.text()).split("\n").filter(line => diagnosticMetrics.test(line));
            return `${entry.name}:\n${metricLines.join("\n")}\n`;
        });
        const engineBackends = [...this.deployment.backends.values()].filter(({ id }) => /^(prefill|decode)/.test(id));
        const engines = engineBackends.map(async backend =>
            `${backend.id} has the active attempts ${(await backend.activeAttempts()).join(" ")}\n`
        );
        const { view } = await this.deployment.status(this.entry(0)).catch(() => ({ view: undefined }));
        const known = Object.values(view?.backends ?? {}).map(({ announcement, state }) =>
            `${announcement.id} is ${state}, ${announcement.role}, serves ${JSON.stringify(announcement.models)}\n`
        );
        const parts = await Promise.allSettled([...entries, ...engines]);
        return [...parts.map(part => part.status === "fulfilled" ? part.value : `${part.reason}\n`), ...known].join("");
    }

    /** Restarts every daemon that isn't running and waits until all are ready. */
    async restartStopped(): Promise<void> {
        const daemons = this.deployment.daemons();
        daemons.filter(daemon => !daemon.isRunning()).forEach(daemon => daemon.start());
        await Promise.all(daemons.map(daemon => daemon.ready()));
    }

    /** Kills every process and removes the deployment's folder. */
    close(): Promise<void> {
        return this.deployment.close();
    }
}

function engineSettings(id: string, role: "prefill" | "decode") {
    return { id, role, pool: "drafting", models, slots: 4, tokenTime: 25, promptTokenTime: 0.1 };
}

/** A call whose answer has at least eight tokens and at most `maxTokens`. */
export function call(prompt: string, overrides: Partial<ModelCall> = {}): ModelCall {
    return { model, prompt, maxTokens: 30, ...overrides };
}
