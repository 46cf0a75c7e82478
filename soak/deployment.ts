import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { operatorPaths } from "../platform/src/standins/wire.js";
import { Addresses } from "../playground/harness/addresses.js";
import { pause, until } from "../playground/harness/index.js";
import { Backend, type KeptCache } from "./backend.js";
import type { Invariants } from "./invariants.js";
import { Member } from "./member.js";
import { PartitionFile } from "./partitionFile.js";
import type { SoakPlan } from "./plan.js";
import { retryRules } from "./serverArrivals.js";

const failureDomains = ["a", "b", "c"];
/** The retry allowance as settings state it, the window in seconds. */
const repeats = { ratio: retryRules.ratio, window: retryRules.windowMilliseconds / 1_000, slack: retryRules.slack };
/** Host numbers: daemons are known by their relay's host, and listen on the host that is `bindHostOffset` higher. */
const directoryHostBase = 1;
const gatewayHostBase = 21;
const bindHostOffset = 100;
const backendHostNumber = 250;
const heartbeatMilliseconds = 600;
/** Timeout of the simulated load balancer's readiness check; a gateway that doesn't answer in time isn't ready. */
const readinessTimeoutMilliseconds = 800;
const readyTimeoutMilliseconds = 30_000;
/** Delay before a replacement is started for a backend server that crashed while running a request. */
const replacementDelayMilliseconds = 1_500;

type Ports = Readonly<Record<"peer" | "calls" | "callers" | "readiness" | "relay", number>>;

/** A deployment of real processes on loopback with a relay in front of each address, and simulated backend servers. */
export class SoakDeployment {
    readonly directories: Member[] = [];
    readonly gateways: Member[] = [];
    /** Directories that were replaced: they stay down, but their logs are still checked. */
    readonly replaced: Member[] = [];
    readonly backends: Backend[] = [];
    private readonly caches = new Map<string, KeptCache>();
    private closed = false;
    private createdBackends = 0;
    private createdDirectories = 0;

    private constructor(
        private readonly plan: SoakPlan,
        private readonly invariants: Invariants,
        private readonly addresses: Addresses,
        private readonly folder: string,
        private readonly ports: Ports,
    ) {}

    /** Reserves addresses and ports and writes the settings files; processes are started by `start`. */
    static async create(plan: SoakPlan, invariants: Invariants): Promise<SoakDeployment> {
        const folder = await mkdtemp(path.join(tmpdir(), "soak-"));
        const addresses = Addresses.create();
        const host = addresses.host(backendHostNumber);
        const ports: number[] = [];
        while (ports.length < 5) {
            const { port } = await addresses.free(host);
            if (!ports.includes(port)) {
                ports.push(port);
            }
        }
        const [peer, calls, callers, readiness, relay] = ports as [number, number, number, number, number];
        const namedPorts = { peer, calls, callers, readiness, relay };
        PartitionFile.buildModule();
        const deployment = new SoakDeployment(plan, invariants, addresses, folder, namedPorts);
        await deployment.createMembers();
        return deployment;
    }

    members(): readonly Member[] {
        return [...this.directories, ...this.gateways];
    }

    /** Starts all daemon processes and backend servers. */
    async start(): Promise<void> {
        this.members().forEach(member => member.start());
        const { engines, plainServers } = this.plan;
        for (let index = 0; index < engines; index++) {
            await this.addBackend("pool", index < engines / 2 ? "prefill" : "decode");
        }
        for (let index = 0; index < plainServers; index++) {
            await this.addBackend("plain", undefined);
        }
    }

    /** Waits until the readiness check of every gateway succeeds. */
    async waitUntilReady(): Promise<void> {
        for (const gateway of this.gateways) {
            await until(`${gateway.name} ready`, () => this.isReady(gateway), readyTimeoutMilliseconds);
        }
    }

    /** Whether the load balancer would route new callers to a gateway. */
    async isReady(gateway: Member): Promise<boolean> {
        if (!gateway.isAwake()) {
            return false;
        }
        try {
            const url = `http://${gateway.bindHost}:${this.ports.readiness}${operatorPaths.ready}`;
            const answer = await fetch(url, { signal: AbortSignal.timeout(readinessTimeoutMilliseconds) });
            await answer.text();
            return answer.status === 200;
        }
        catch {
            // The process is starting or shutting down.
            return false;
        }
    }

    /** Address at which callers reach a gateway, through its relay. */
    callerAddressOf(gateway: Member): { readonly host: string; readonly port: number; } {
        return { host: gateway.host, port: this.ports.callers };
    }

    /** Addresses at which operators and backend servers reach the directories, through their relays. */
    callAddresses(): readonly string[] {
        return this.directories.map(({ host }) => `${host}:${this.ports.calls}`);
    }

    /**
     * Starts a backend server with a new name, or with `name` if it is a new incarnation of an earlier one. `version`: of its software; by
     * default those of the plan take turns.
     */
    async addBackend(
        service: "plain" | "pool",
        stage: "prefill" | "decode" | undefined,
        name?: string,
        version = this.nextVersion(),
    ): Promise<Backend> {
        this.createdBackends += 1;
        const backend = await Backend.create({
            id: name ?? `${service}-${this.createdBackends}`,
            service,
            stage,
            version,
            failureDomain: failureDomains[this.createdBackends % failureDomains.length]!,
            host: this.addresses.host(backendHostNumber),
            directories: () => this.callAddresses(),
            invariants: this.invariants,
            caches: this.caches,
            onPoisonRequest: crashed => void this.replaceBackend(crashed),
        });
        this.backends.push(backend);
        return backend;
    }

    /** Software version of the next backend server: the versions take turns if the plan has several. */
    private nextVersion(): string {
        const { versions = 1 } = this.plan;
        return `v${1 + this.createdBackends % versions}`;
    }

    /** Crashes a backend server without a replacement. */
    removeBackend(backend: Backend): void {
        const position = this.backends.indexOf(backend);
        if (position >= 0) {
            this.backends.splice(position, 1);
        }
        backend.crash();
    }

    /** Crashes a backend server and starts another one after a delay. */
    private async replaceBackend(backend: Backend): Promise<void> {
        this.removeBackend(backend);
        await pause(replacementDelayMilliseconds);
        if (!this.closed) {
            await this.addBackend(backend.service, backend.initialStage, undefined, backend.version);
        }
    }

    /** Adds a directory at a new address with an empty disk, without starting it. */
    addDirectory(firstStart: boolean): Promise<Member> {
        this.createdDirectories += 1;
        return this.createDirectory(this.createdDirectories, firstStart);
    }

    /** Addresses of up to three directories, for the `seeds` setting. */
    seeds(): readonly string[] {
        return this.callAddresses().slice(0, 3);
    }

    /** Kills every process that this deployment started, and removes its folder. */
    async close(): Promise<void> {
        this.closed = true;
        this.backends.forEach(backend => backend.crash());
        await Promise.all(this.members().map(member => member.close()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async createMembers(): Promise<void> {
        for (let index = 0; index < this.plan.directories; index++) {
            await this.addDirectory(true);
        }
        for (const directory of this.directories) {
            await directory.writeSettings({ seeds: this.seeds() });
        }
        for (let index = 0; index < this.plan.gateways; index++) {
            this.gateways.push(await this.createGateway(index));
        }
    }

    private async createDirectory(number: number, firstStart: boolean): Promise<Member> {
        const name = `directory-${number}`;
        const { peer, calls } = this.ports;
        const common = this.commonSettings(name, directoryHostBase + number, number);
        const member = await Member.create(
            {
                ...common,
                role: "directory",
                calls: `${common.bindHost}:${calls}`,
                dataFolder: path.join(this.folder, `data-${name}`),
                firstStart,
                tolerated: 1,
                heartbeat: heartbeatMilliseconds,
                orderLease: 1_000,
                repeats,
            },
            { peers: peer, calls },
            this.folder,
        );
        this.directories.push(member);
        return member;
    }

    private createGateway(index: number): Promise<Member> {
        const { callers, readiness, relay } = this.ports;
        const common = this.commonSettings(`gateway-${index + 1}`, gatewayHostBase + index, index);
        return Member.create(
            {
                ...common,
                role: "gateway",
                callers: `${common.bindHost}:${callers}`,
                readiness: `${common.bindHost}:${readiness}`,
                relayPort: relay,
                repeats,
            },
            { callers, relay },
            this.folder,
        );
    }

    private commonSettings(name: string, last: number, index: number) {
        return {
            name,
            failureDomain: failureDomains[index % failureDomains.length]!,
            host: this.addresses.host(last),
            bindHost: this.addresses.host(last + bindHostOffset),
            peerPort: this.ports.peer,
            metricsPort: 0,
            seeds: this.seeds(),
            shutdownTime: 8,
        };
    }
}
