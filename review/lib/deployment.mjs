// Starts a small deployment of the project's own programs on loopback, as the deploy file does, and stands in for the platform
// and the operator. Nothing here decides whether a rule holds.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

export const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
const workerFile = path.join(path.dirname(fileURLToPath(import.meta.url)), "worker.mjs");
export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Bounds as the pages state them for a small deployment (sites/celeste-alquiler.toml). */
export const bounds = {
    drain_ms: 2_000,
    grace_s: 8,
    heartbeat_ms: 1_200,
    lease_ms: 3_000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 56,
};

/** Waits until the condition holds; throws after so many milliseconds. */
export async function until(what, condition, milliseconds = 20_000) {
    const deadline = performance.now() + milliseconds;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`not within ${milliseconds} ms: ${what}`);
        }
        await pause(50);
    }
}

async function freePort(host) {
    const server = net.createServer();
    await new Promise((resolve, reject) => server.once("error", reject).listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Lines of what was sent, answered and run, with the milliseconds since the start. */
export class Record {
    constructor(file) {
        this.file = file;
        this.startedAt = performance.now();
        writeFileSync(file, "");
    }

    line(text) {
        appendFileSync(this.file, `${Math.round(performance.now() - this.startedAt)} ${text}\n`);
    }
}

/** One program of the deployment. */
export class Daemon {
    constructor(deployment, settings) {
        this.deployment = deployment;
        this.settings = settings;
        this.file = path.join(deployment.folder, `${settings.name}.json`);
        this.starts = 0;
        this.ends = [];
        this.output = "";
        this.expectedDown = false;
    }

    get name() {
        return this.settings.name;
    }

    start() {
        writeFileSync(this.file, JSON.stringify(this.settings, undefined, 4));
        this.starts += 1;
        this.expectedDown = false;
        const { PATH, HOME, LANG } = process.env;
        const child = spawn("node", ["--max-old-space-size=150", "target/basilpaddle.cjs"], {
            cwd: repository,
            env: { PATH, HOME, LANG, BASILPADDLE_SETTINGS: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        const collect = chunk => {
            this.output = (this.output + chunk).slice(-400_000);
        };
        child.stdout.on("data", collect);
        child.stderr.on("data", collect);
        child.once("exit", (code, signal) => {
            if (this.child === child) {
                this.child = undefined;
            }
            this.ends.push({ code, signal, expected: this.expectedDown });
            this.deployment.record.line(`${this.name} ended: code ${code}, signal ${signal}`);
            if (!this.expectedDown && !this.deployment.closed) {
                // The platform starts a process again after a short delay.
                setTimeout(() => !this.deployment.closed && this.start(), 300);
            }
        });
    }

    signal(name) {
        this.expectedDown ||= name === "SIGTERM" || name === "SIGKILL";
        this.child?.kill(name);
    }

    /** Resident memory in MB. */
    memory() {
        try {
            const status = readFileSync(`/proc/${this.child?.pid}/status`, "utf8");
            return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
        }
        catch {
            return 0;
        }
    }
}

/** Directories, gateways and workers of one run. */
export class Deployment {
    static async create(record, { directories = 3, gateways = 2, bind = false } = {}) {
        const deployment = new Deployment();
        deployment.record = record;
        deployment.closed = false;
        deployment.folder = mkdtempSync(path.join(os.tmpdir(), "review-"));
        const net1 = 20 + process.pid % 200;
        const net2 = 1 + Math.floor(Math.random() * 250);
        const host = last => `127.${net1}.${net2}.${last}`;
        deployment.host = host;
        const ports = new Set();
        while (ports.size < 6) {
            ports.add(await freePort(host(1)));
        }
        const [peer, calls, callers, readiness, relay, metrics] = [...ports];
        deployment.ports = { peer, calls, callers, readiness };
        const zones = ["zone-a", "zone-b", "zone-c"];
        const seeds = Array.from({ length: Math.min(3, directories) }, (_, index) => `${host(1 + index)}:${calls}`);
        const repeats = {
            ratio: bounds.retry_budget_ratio,
            window: bounds.budget_window_s,
            slack: bounds.budget_slack,
        };
        const common = (name, last, index) => ({
            name,
            failureDomain: zones[index % 3],
            host: host(last),
            peerPort: peer,
            metricsPort: metrics,
            seeds,
            repeats,
            shutdownTime: bounds.grace_s,
        });
        deployment.directories = Array.from({ length: directories }, (_, index) => {
            const name = `core-${index + 1}`;
            const dataFolder = path.join(deployment.folder, `data-${name}`);
            mkdirSync(dataFolder);
            return new Daemon(deployment, {
                role: "directory",
                ...common(name, 1 + index, index),
                calls: `${host(1 + index)}:${calls}`,
                dataFolder,
                firstStart: true,
                tolerated: 1,
                heartbeat: bounds.heartbeat_ms,
                orderLease: bounds.lease_ms,
                placement: { bySpeed: true },
            });
        });
        deployment.gateways = Array.from({ length: gateways }, (_, index) => {
            const last = 21 + index;
            return new Daemon(deployment, {
                role: "gateway",
                ...common(`front-${index + 1}`, last, index),
                callers: `${host(last)}:${callers}`,
                readiness: `${host(last)}:${readiness}`,
                relayPort: relay,
                // On loopback a connection else comes from 127.0.0.1, whatever machine it stands for.
                ...bind ? { bindHost: host(last) } : {},
            });
        });
        deployment.workers = [];
        for (const signal of ["SIGTERM", "SIGINT"]) {
            process.once(signal, () => {
                deployment.close();
                process.exit(2);
            });
        }
        return deployment;
    }

    async start(configuration) {
        [...this.directories, ...this.gateways].forEach(daemon => daemon.start());
        await this.put(configuration);
        await until("all gateways ready", async () => {
            const ready = await Promise.all(this.gateways.map(gateway => this.isReady(gateway)));
            return ready.every(Boolean);
        });
    }

    /** Addresses that serve workers and the operator. */
    controlAddresses() {
        return this.directories.map(({ settings }) => settings.calls);
    }

    callersOf(gateway) {
        const [host, port] = gateway.settings.callers.split(":");
        return { host, port: Number(port) };
    }

    async isReady(gateway) {
        const answer = await call(`http://${gateway.settings.readiness}/readiness`, "GET").catch(() => undefined);
        return answer?.status === 200;
    }

    /** Sends a configuration until it is acknowledged; returns when that was. */
    async put(configuration) {
        const body = JSON.stringify(configuration);
        for (let attempt = 0; attempt < 100; attempt++) {
            const address = this.controlAddresses()[attempt % this.directories.length];
            const answer = await call(`http://${address}/configuration/put`, "POST", body).catch(() => undefined);
            if (answer?.status === 200) {
                this.record.line(`configuration ${configuration.version} acknowledged`);
                return performance.now();
            }
            await pause(200);
        }
        throw new Error("the configuration was never acknowledged");
    }

    /** Starts a worker process; resolves once a directory has acknowledged it. */
    async addWorker(options) {
        const worker = new Worker(this, options);
        this.workers.push(worker);
        await worker.start();
        const address = await worker.listens();
        options.path?.setTarget(address);
        worker.send({ kind: "register" });
        await worker.next("registered", 15_000);
        return worker;
    }

    close() {
        this.closed = true;
        for (const daemon of [...this.directories, ...this.gateways]) {
            daemon.signal("SIGKILL");
        }
        this.workers.forEach(worker => worker.child?.kill("SIGKILL"));
        rmSync(this.folder, { recursive: true, force: true, maxRetries: 5 });
    }
}

/** A worker process; what it does is told by messages, and it reports what arrives and runs. */
export class Worker {
    constructor(deployment, options) {
        this.deployment = deployment;
        this.options = options;
        this.reports = [];
        this.lifetime = 0;
        this.listeners = [];
    }

    async start(change = {}) {
        this.lifetime += 1;
        Object.assign(this.options, change);
        const { deployment, options } = this;
        const id = `${options.name}-${this.lifetime}`;
        this.id = id;
        this.child = spawn("node", [workerFile], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
        this.child.on("message", report => {
            report.at = performance.now();
            report.worker = id;
            this.reports.push(report);
            deployment.record.line(`${id} ${report.kind} ${report.attempt ?? ""} ${report.text ?? ""}`);
            this.listeners.forEach(listener => listener(report));
        });
        this.child.once("exit", (code, signal) => deployment.record.line(`${id} process ended ${code} ${signal}`));
        this.host = deployment.host(100 + deployment.workers.indexOf(this));
        this.child.send({ ...options, path: undefined, announced: options.path?.address, kind: "start", id, host: this.host, control: deployment.controlAddresses() });
        return this;
    }

    /** The address that it listens on. */
    async listens() {
        const { port } = await this.next("listening");
        this.port = port;
        return `${this.host}:${port}`;
    }

    send(message) {
        this.child.send(message);
    }

    next(kind, milliseconds = 10_000) {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => reject(new Error(`${this.id}: no ${kind}`)), milliseconds);
            const listener = report => {
                if (report.kind === kind) {
                    clearTimeout(timer);
                    this.listeners = this.listeners.filter(other => other !== listener);
                    resolve(report);
                }
            };
            this.listeners.push(listener);
        });
    }

    kill() {
        this.child.kill("SIGKILL");
    }
}

/** A call with a body; resolves with status and text. */
export function call(url, method, body, milliseconds = 1_000) {
    return new Promise((resolve, reject) => {
        const request = http.request(url, { method, agent: false }, response => {
            let text = "";
            response.on("data", chunk => {
                text += chunk;
            });
            response.on("end", () => resolve({ status: response.statusCode, text }));
            response.on("error", reject);
        });
        request.setTimeout(milliseconds, () => request.destroy(new Error("late")));
        request.on("error", reject);
        request.end(body);
    });
}

/** A configuration document; routes and services as the pages show them. */
export function configuration(version, { plain = {}, pool = {}, routes = [] } = {}) {
    return {
        version,
        routes: [
            {
                name: "once",
                host: "a.example",
                path_prefix: "/once/",
                kind: "unsafe",
                timeout_ms: 1_500,
                target_latency_ms: 121,
                priority: 2,
                service: "plain",
                attempts: 1,
                ...plain.route,
            },
            {
                name: "read",
                host: "a.example",
                path_prefix: "/read/",
                kind: "safe",
                timeout_ms: 1_500,
                target_latency_ms: 121,
                priority: 2,
                service: "plain",
                attempts: 2,
                ...plain.route,
            },
            {
                name: "stream",
                host: "a.example",
                path_prefix: "/stream/",
                kind: "streaming",
                timeout_ms: 14_000,
                target_latency_ms: 900,
                priority: 1,
                service: "pool",
                attempts: 1,
                sticky: true,
                resumable: false,
                gap_target_ms: 300,
                ...pool.route,
            },
            ...routes,
        ],
        services: [
            {
                name: "plain",
                health_path: "/health",
                connection_limit: 110,
                protocol: "h1",
                tls: false,
                ...plain.service,
            },
            {
                name: "pool",
                health_path: "/health",
                connection_limit: 500,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 96,
                    kv_cache_tokens: 34_221,
                    kv_token_bytes: 35_136,
                    link_mbps: 1_100_000,
                    moves: true,
                    backups: true,
                    handle_ttl_s: 0.5,
                    stage_switch_s: 6,
                    models: [{ name: "m" }],
                },
                ...pool.service,
            },
        ],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    };
}
