import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { configurationDocument, operatorPaths, type RouteKind } from "../../platform/src/standins/wire.js";
import { Addresses } from "../../playground/harness/addresses.js";
import { pause, Program, until } from "../../playground/harness/index.js";
import { callerKey, type GatewayList, limitMilliseconds, routeHost } from "./caller.js";
import type { EngineFaults } from "./engineFaults.js";
import { graceMilliseconds, type ServerRuns, type Stop } from "./exchange.js";
import { Server, type ServerKind } from "./server.js";

const programPath = "target/basilpaddle.cjs";
const startTimeoutMilliseconds = 20_000;
const millisecondsInSecond = 1_000;
const directoryHosts = [1, 2, 3];
const firstGatewayHost = 21;
const serverHost = 250;
const retryAllowance = { ratio: 0.2, window: 10, slack: 5_000 };
const noRetries = { ratio: 0, window: 10, slack: 0 };
const plain: ServerKind = { service: "plain", stage: undefined };
const prefill: ServerKind = { service: "pool", stage: "prefill" };
const decode: ServerKind = { service: "pool", stage: "decode" };
const serverKinds = [...Array<ServerKind>(8).fill(plain), prefill, prefill, ...Array<ServerKind>(6).fill(decode)];
const routeKinds: readonly RouteKind[] = ["safe", "unsafe", "once", "resumable"];

/** A time in which a process stands still, in milliseconds against its signal. */
export type Standstill = { readonly from: number; readonly milliseconds: number; };

/** Numbers of processes, whether requests may be sent twice, and how long after the signal a balancer still sends new connections, in milliseconds. */
type Shape = {
    readonly directories: number;
    readonly gateways: number;
    readonly hasRetries: boolean;
    readonly balancerMilliseconds: number;
};

type Ports = Readonly<Record<"peer" | "calls" | "callers" | "readiness" | "relay", number>>;

/** Directories and gateways as real processes on loopback, and sound backend servers in this one. */
export class Deployment {
    /** What backend servers worked on, by attempt. */
    readonly runs = new Map<string, ServerRuns>();
    readonly stops: Stop[] = [];
    private readonly directories: Program[] = [];
    private readonly gateways: Program[] = [];
    private readonly servers: Server[] = [];

    private constructor(
        private readonly addresses: Addresses,
        private readonly folder: string,
        private readonly ports: Ports,
        private readonly shape: Shape,
        private readonly faults: EngineFaults,
    ) {}

    /** Starts everything, and waits until each gateway is ready. */
    static async create(shape: Shape, faults: EngineFaults): Promise<Deployment> {
        const addresses = Addresses.create();
        const ports = new Set<number>();
        while (ports.size < 5) {
            ports.add((await addresses.free(addresses.host(serverHost))).port);
        }
        const [peer, calls, callers, readiness, relay] = [...ports] as [number, number, number, number, number];
        const folder = await mkdtemp(path.join(tmpdir(), "stops-"));
        const named = { peer, calls, callers, readiness, relay };
        const deployment = new Deployment(addresses, folder, named, shape, faults);
        try {
            await deployment.start();
        }
        catch (error) {
            await deployment.close();
            throw error;
        }
        return deployment;
    }

    /** The gateways; those that were stopped a moment ago still get new connections. */
    list(): GatewayList {
        const indexes = this.gateways.map((_, index) => index);
        return {
            addresses: indexes.map(index => ({ host: this.gatewayHost(index), port: this.ports.callers })),
            rotation: () => {
                const noticed = this.stops.filter(({ at }) => performance.now() > at + this.shape.balancerMilliseconds);
                return indexes.filter(index => noticed.every(({ gateway }) => gateway !== index));
            },
        };
    }

    /** Sends SIGTERM to a gateway, and SIGKILL when its grace period is over; resolves once it has ended. */
    async stop(index: number): Promise<void> {
        const gateway = this.gateways[index]!;
        const stop: Stop = { gateway: index, at: performance.now(), endedAt: undefined, wasKilled: false };
        this.stops.push(stop);
        gateway.signal("SIGTERM");
        const kill = setTimeout(() => {
            stop.wasKilled = true;
            gateway.signal("SIGKILL");
        }, graceMilliseconds);
        await gateway.end();
        clearTimeout(kill);
        stop.endedAt = performance.now();
    }

    /** Lets a gateway stand still for each of the times, which don't overlap; resolves after the last. `signalAt`: monotonic clock. */
    async standStill(index: number, signalAt: number, times: readonly Standstill[]): Promise<void> {
        for (const { from, milliseconds } of times) {
            await pause(signalAt + from - performance.now());
            this.gateways[index]!.signal("SIGSTOP");
            await pause(signalAt + from + milliseconds - performance.now());
            this.gateways[index]!.signal("SIGCONT");
        }
    }

    /** Names of processes that ended although nobody stopped them. */
    fallen(): readonly string[] {
        const stopped = this.stops.map(({ gateway }) => this.gateways[gateway]!);
        return [...this.directories, ...this.gateways]
            .filter(program => !program.isRunning() && !stopped.includes(program)).map(({ name }) => name);
    }

    /** Output of all processes, by name. */
    outputs(): ReadonlyMap<string, string> {
        return new Map([...this.directories, ...this.gateways].map(program => [program.name, program.output()]));
    }

    async close(): Promise<void> {
        this.servers.forEach(server => server.close());
        await Promise.all([...this.directories, ...this.gateways].map(program => program.kill()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async start(): Promise<void> {
        const { calls, callers, readiness, relay } = this.ports;
        const { directories, gateways } = this.shape;
        const common = { tolerated: 1, heartbeat: 500, orderLease: 1_000, firstStart: true };
        for (let index = 0; index < directories; index++) {
            const host = this.addresses.host(directoryHosts[index]!);
            const dataFolder = path.join(this.folder, `data-${index}`);
            const settings = { ...common, role: "directory", host, calls: `${host}:${calls}`, dataFolder };
            this.directories.push(await this.startProgram(`directory-${index + 1}`, settings));
        }
        for (let index = 0; index < gateways; index++) {
            const host = this.gatewayHost(index);
            const listens = { callers: `${host}:${callers}`, readiness: `${host}:${readiness}`, relayPort: relay };
            this.gateways.push(await this.startProgram(`gateway-${index + 1}`, { role: "gateway", host, ...listens }));
        }
        await until("the configuration is stored", () => this.configure(), startTimeoutMilliseconds);
        for (const [index, kind] of serverKinds.entries()) {
            const host = this.addresses.host(serverHost);
            const server = await Server.create(`server-${index}`, kind, host, this.seeds(), this.runs, this.faults);
            this.servers.push(server);
        }
        for (let index = 0; index < gateways; index++) {
            await until("a gateway is ready", () => this.isReady(index), startTimeoutMilliseconds);
        }
    }

    private async startProgram(name: string, settings: Readonly<Record<string, unknown>>): Promise<Program> {
        const file = path.join(this.folder, `${name}.json`);
        const common = { failureDomain: "a", peerPort: this.ports.peer, metricsPort: 0, seeds: this.seeds() };
        const shutdownTime = graceMilliseconds / millisecondsInSecond;
        const all = {
            name,
            ...common,
            ...settings,
            repeats: this.shape.hasRetries ? retryAllowance : noRetries,
            shutdownTime,
        };
        await writeFile(file, JSON.stringify(all));
        return Program.create(name, [programPath], { BASILPADDLE_SETTINGS: file });
    }

    private async configure(): Promise<boolean> {
        const body = configurationDocument({
            version: 1,
            host: routeHost,
            routes: routeKinds.map(kind => ({ name: kind, prefix: `/${kind}/`, kind })),
            organisations: [{ name: "stops", keys: [callerKey] }],
            timeout: limitMilliseconds,
            handleLife: 5_000,
        });
        return this.isOk(`http://${this.seeds()[0]}${operatorPaths.store}`, { method: "POST", body });
    }

    private isReady(index: number): Promise<boolean> {
        return this.isOk(`http://${this.gatewayHost(index)}:${this.ports.readiness}${operatorPaths.ready}`, {});
    }

    private async isOk(url: string, init: RequestInit): Promise<boolean> {
        try {
            const answer = await fetch(url, { ...init, signal: AbortSignal.timeout(millisecondsInSecond) });
            await answer.text();
            return answer.ok;
        }
        catch {
            // The process is starting.
            return false;
        }
    }

    private gatewayHost(index: number): string {
        return this.addresses.host(firstGatewayHost + index);
    }

    private seeds(): readonly string[] {
        const hosts = directoryHosts.slice(0, this.shape.directories);
        return hosts.map(host => `${this.addresses.host(host)}:${this.ports.calls}`);
    }
}
