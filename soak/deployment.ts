import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { operatorPaths } from "../platform/src/standins/wire.js";
import { Addresses } from "../playground/harness/addresses.js";
import { pause, until } from "../playground/harness/index.js";
import { Backend } from "./backend.js";
import type { Invariants } from "./invariants.js";
import { Member } from "./member.js";
import type { SoakPlan } from "./plan.js";

const failureDomains = ["a", "b", "c"];
/** Last numbers of hosts: what others know a daemon by, and, so many further, where it really listens. */
const firstDirectory = 1;
const firstGateway = 21;
const behindRelay = 100;
const backendHost = 250;
const heartbeat = 600;
/** Milliseconds in which the balancer's stand-in takes a gateway out that isn't ready. */
const readinessPatience = 800;
const readyLimit = 30_000;
/** Milliseconds until another backend server comes for one that ended under a request. */
const replaceAfter = 1_500;

type Ports = { readonly peer: number; readonly calls: number; readonly callers: number; readonly readiness: number; };

/** A deployment of real processes on loopback, with a relay before each address, and stand-ins for backend servers. */
export class SoakDeployment {
    readonly directories: Member[] = [];
    readonly gateways: Member[] = [];
    /** Directories that were replaced by others: they stay down, and their logs count all the same. */
    readonly replaced: Member[] = [];
    readonly backends: Backend[] = [];
    private readonly caches = new Map<string, string>();
    private closed = false;
    private madeBackends = 0;
    private madeDirectories = 0;

    private constructor(
        private readonly plan: SoakPlan,
        private readonly invariants: Invariants,
        private readonly addresses: Addresses,
        private readonly folder: string,
        private readonly ports: Ports,
    ) {}

    /** Starts every process and waits until each gateway is ready; `configure` sends the first configuration. */
    static async create(plan: SoakPlan, invariants: Invariants): Promise<SoakDeployment> {
        const folder = await mkdtemp(path.join(tmpdir(), "soak-"));
        const addresses = Addresses.create();
        const host = addresses.host(backendHost);
        const ports: number[] = [];
        while (ports.length < 4) {
            const { port } = await addresses.free(host);
            if (!ports.includes(port)) {
                ports.push(port);
            }
        }
        const [peer, calls, callers, readiness] = ports as [number, number, number, number];
        const deployment = new SoakDeployment(plan, invariants, addresses, folder, { peer, calls, callers, readiness });
        await deployment.write();
        return deployment;
    }

    members(): readonly Member[] {
        return [...this.directories, ...this.gateways];
    }

    /** Starts all processes and backend servers. */
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

    /** Waits until every gateway says that it is ready. */
    async ready(): Promise<void> {
        for (const gateway of this.gateways) {
            await until(`${gateway.name} ready`, () => this.isReady(gateway), readyLimit);
        }
    }

    /** Whether the balancer would send new callers to a gateway. */
    async isReady(gateway: Member): Promise<boolean> {
        if (!gateway.isAwake()) {
            return false;
        }
        try {
            const url = `http://${gateway.bindHost}:${this.ports.readiness}${operatorPaths.ready}`;
            const answer = await fetch(url, { signal: AbortSignal.timeout(readinessPatience) });
            await answer.text();
            return answer.status === 200;
        }
        catch {
            // It is starting or ending.
            return false;
        }
    }

    /** Where callers reach a gateway, over its relay. */
    callersOf(gateway: Member): { readonly host: string; readonly port: number; } {
        return { host: gateway.host, port: this.ports.callers };
    }

    /** Where operators and backend servers reach the directories, over their relays. */
    callAddresses(): readonly string[] {
        return this.directories.map(({ host }) => `${host}:${this.ports.calls}`);
    }

    /** Starts a backend server, under a name of its own unless it comes back under one. */
    async addBackend(
        service: "plain" | "pool",
        stage: "prefill" | "decode" | undefined,
        name?: string,
    ): Promise<Backend> {
        this.madeBackends += 1;
        const backend = await Backend.create({
            id: name ?? `${service}-${this.madeBackends}`,
            service,
            stage,
            failureDomain: failureDomains[this.madeBackends % failureDomains.length]!,
            host: this.addresses.host(backendHost),
            directories: () => this.callAddresses(),
            invariants: this.invariants,
            caches: this.caches,
            onDeadly: ended => void this.replaceBackend(ended),
        });
        this.backends.push(backend);
        return backend;
    }

    /** Ends a backend server for good. */
    removeBackend(backend: Backend): void {
        const position = this.backends.indexOf(backend);
        if (position >= 0) {
            this.backends.splice(position, 1);
        }
        backend.crash();
    }

    /** A backend server ends, and another one takes its place a little later. */
    private async replaceBackend(backend: Backend): Promise<void> {
        this.removeBackend(backend);
        await pause(replaceAfter);
        if (!this.closed) {
            await this.addBackend(backend.service, backend.firstStage);
        }
    }

    /** Adds a directory at a new address with an empty disk; it isn't started yet. */
    addDirectory(firstStart: boolean): Promise<Member> {
        this.madeDirectories += 1;
        return this.directory(this.madeDirectories, firstStart);
    }

    /** Addresses of up to three directories, as settings name them. */
    seeds(): readonly string[] {
        return this.callAddresses().slice(0, 3);
    }

    /** Ends every process that this deployment started, and removes its folder. */
    async close(): Promise<void> {
        this.closed = true;
        this.backends.forEach(backend => backend.crash());
        await Promise.all(this.members().map(member => member.close()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async write(): Promise<void> {
        for (let index = 0; index < this.plan.directories; index++) {
            await this.addDirectory(true);
        }
        for (const directory of this.directories) {
            await directory.write({ seeds: this.seeds() });
        }
        for (let index = 0; index < this.plan.gateways; index++) {
            this.gateways.push(await this.gateway(index));
        }
    }

    private async directory(number: number, firstStart: boolean): Promise<Member> {
        const name = `directory-${number}`;
        const { peer, calls } = this.ports;
        const common = this.common(name, firstDirectory + number, number);
        const member = await Member.create(
            {
                ...common,
                role: "directory",
                calls: `${common.bindHost}:${calls}`,
                dataFolder: path.join(this.folder, `data-${name}`),
                firstStart,
                tolerated: 1,
                heartbeat,
                orderLease: 1_000,
            },
            { peers: peer, calls },
            this.folder,
        );
        this.directories.push(member);
        return member;
    }

    private gateway(index: number): Promise<Member> {
        const { callers, readiness } = this.ports;
        const common = this.common(`gateway-${index + 1}`, firstGateway + index, index);
        return Member.create(
            {
                ...common,
                role: "gateway",
                callers: `${common.bindHost}:${callers}`,
                readiness: `${common.bindHost}:${readiness}`,
                repeats: { ratio: 0.2, window: 10, slack: 50 },
            },
            { callers },
            this.folder,
        );
    }

    private common(name: string, last: number, index: number) {
        return {
            name,
            failureDomain: failureDomains[index % failureDomains.length]!,
            host: this.addresses.host(last),
            bindHost: this.addresses.host(last + behindRelay),
            peerPort: this.ports.peer,
            metricsPort: 0,
            seeds: this.seeds(),
            shutdownTime: 8,
        };
    }
}
