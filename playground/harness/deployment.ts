import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import {
    type DeploymentStatus,
    operatorAnswerSchema,
} from "../../packages/basilpaddle/src/node/daemon/operators/index.js";
import type { ControlSettings, EntrySettings, Settings } from "../../packages/basilpaddle/src/node/index.js";
import { Addresses } from "./addresses.js";
import { Backend } from "./backend.js";
import { bin, Daemon, formatAddress } from "./daemon.js";
import { Program } from "./program.js";
import { Relay } from "./relay.js";
import { setUpTimeoutMilliseconds, until } from "./wait.js";

/** Timing section of a settings file. */
export type TimingInput = Partial<Settings["timing"]>;

/** Size, failure domains and timing of a deployment. */
export type DeploymentPlan = {
    readonly cluster: string;
    readonly failureDomains: readonly string[];
    readonly controls: number;
    readonly entries: number;
    readonly timing?: TimingInput;
    /** Whether entry daemons connect to control daemons through relays. */
    readonly relayed?: boolean;
};

/** Exit code and output of a command. */
export type CommandOutcome = { readonly code: number | undefined; readonly output: string; };

type ControlAddress = { readonly name: string; readonly host: string; readonly port: number; };

/** A deployment of real processes on loopback: control daemons, entry daemons and backend server stand-ins. */
export class Deployment {
    readonly controls: Daemon<ControlSettings>[] = [];
    readonly entries: Daemon<EntrySettings>[] = [];
    readonly backends = new Map<string, Backend>();
    /** Relays from each entry daemon to each control daemon, by entry daemon name and control daemon name. */
    readonly relays = new Map<string, ReadonlyMap<string, Relay>>();
    private readonly backendRelays: Relay[] = [];
    private readonly addresses = Addresses.create();

    private constructor(
        private readonly plan: DeploymentPlan,
        /** Temporary folder of this run, with settings files and data folders. */
        readonly folder: string,
    ) {}

    /** Starts all daemons and waits until they are ready. */
    static async create(plan: DeploymentPlan): Promise<Deployment> {
        const folder = await mkdtemp(path.join(tmpdir(), "basilpaddle-"));
        const deployment = new Deployment(plan, folder);
        try {
            await deployment.createDaemons();
            await deployment.start();
            return deployment;
        }
        catch (error) {
            await deployment.close();
            throw error;
        }
    }

    /** All daemons. */
    daemons(): readonly Daemon[] {
        return [...this.controls, ...this.entries];
    }

    /** Starts a stand-in that announces itself to all entry daemons. */
    async addBackend(kind: "engine" | "service", settings: { readonly id: string; }): Promise<Backend> {
        const listeners = this.entries.map(entry => formatAddress(entry.settings.backends));
        const backend = await Backend.create(kind, { ...settings, listeners } as { readonly id: string; });
        this.backends.set(settings.id, backend);
        return backend;
    }

    /** Starts a stand-in that daemons reach only through a relay. */
    async addRelayedBackend(
        kind: "engine" | "service",
        settings: { readonly id: string; },
    ): Promise<{ readonly backend: Backend; readonly relay: Relay; }> {
        const relay = await Relay.create(this.addresses.host(201));
        this.backendRelays.push(relay);
        const announcedUrl = `http://${formatAddress(relay.address)}`;
        const backend = await this.addBackend(kind, { ...settings, announcedUrl } as { readonly id: string; });
        const { hostname: host, port } = new URL(backend.url);
        relay.setTarget({ host, port: Number(port) });
        return { backend, relay };
    }

    /** Runs a command of the built program, as an operator does. */
    async command(...args: readonly string[]): Promise<CommandOutcome> {
        const program = Program.create("basilpaddle", [bin, ...args]);
        const { code } = await program.end();
        return { code, output: program.output() };
    }

    /** Reads the deployment's status from a daemon. Throws if the daemon returns another kind of answer. */
    async status(daemon: Daemon): Promise<DeploymentStatus> {
        const url = `http://${daemon.operators}/operator/v1/status?timeout=2000`;
        const answer = await fetch(url, { signal: AbortSignal.timeout(5_000) });
        const parsed = operatorAnswerSchema.parse(await answer.json());
        if (parsed.kind !== "status") {
            throw new Error(`${daemon.name} returned no status: ${JSON.stringify(parsed)}`);
        }
        return parsed.status;
    }

    /** Waits until these backend servers are ready in the view that the daemon reports; the limit is in milliseconds. */
    async waitForBackends(ids: readonly string[], asked: Daemon = this.entries[0]!, limit?: number): Promise<void> {
        await until(`${ids.join(", ")} to be ready`, async () => {
            const { view } = await this.status(asked);
            return ids.every(id => view.backends[id]?.state === "ready");
        }, limit);
    }

    /** Waits for a leader among the control daemons and returns it. */
    async leader(asked: readonly Daemon[] = this.controls): Promise<Daemon<ControlSettings>> {
        return until("a leader", async () => {
            for (const daemon of asked) {
                const status = await this.status(daemon).catch(() => undefined);
                if (status?.leading === true) {
                    return this.controls.find(control => control.name === status.leader);
                }
            }
            return undefined;
        });
    }

    /** Kills every process, closes the relays and removes the folder. */
    async close(): Promise<void> {
        await Promise.all([...this.backends.values(), ...this.daemons()].map(one => one.kill()));
        [...this.relays.values()].flatMap(relaysByControl => [...relaysByControl.values()]).forEach(relay =>
            relay.close()
        );
        this.backendRelays.forEach(relay => relay.close());
        await rm(this.folder, { recursive: true, force: true });
    }

    private async createDaemons(): Promise<void> {
        const peers = await Promise.all(
            Array.from(
                { length: this.plan.controls },
                (_, index) => this.addresses.free(this.addresses.host(1 + index)),
            ),
        );
        const controls = peers.map((peer, index) => ({ name: `control-${index + 1}`, ...peer }));
        for (const [index, { name, host, port }] of controls.entries()) {
            const settings = {
                role: "control",
                ...await this.commonSettings(name, index, host, controls),
                peers: { host, port },
                dataFolder: path.join(this.folder, `data-${name}`),
            };
            this.controls.push(await Daemon.create<ControlSettings>(settings, this.settingsPath(name)));
        }
        for (let index = 0; index < this.plan.entries; index++) {
            const host = this.addresses.host(101 + index);
            const name = `entry-${index + 1}`;
            const settings = {
                role: "entry",
                ...await this.commonSettings(name, index, host, await this.controlAddresses(controls, name, host)),
                callers: await this.addresses.free(host),
                backends: await this.addresses.free(host),
            };
            this.entries.push(await Daemon.create<EntrySettings>(settings, this.settingsPath(name)));
        }
    }

    /** Addresses of the control daemons for an entry daemon's settings: their own, or those of its relays to them. */
    private async controlAddresses(
        controls: readonly ControlAddress[],
        entry: string,
        host: string,
    ): Promise<readonly ControlAddress[]> {
        if (this.plan.relayed !== true) {
            return controls;
        }
        const relaysByControl = new Map<string, Relay>();
        this.relays.set(entry, relaysByControl);
        return Promise.all(controls.map(async control => {
            const relay = await Relay.create(host);
            relay.setTarget(control);
            relaysByControl.set(control.name, relay);
            return { name: control.name, ...relay.address };
        }));
    }

    private async commonSettings(name: string, index: number, host: string, controls: readonly object[]) {
        const { failureDomains, timing = {} } = this.plan;
        return {
            name,
            failureDomain: failureDomains[index % failureDomains.length],
            operators: await this.addresses.free(host),
            peers: await this.addresses.free(host),
            controls,
            timing,
        };
    }

    private settingsPath(name: string): string {
        return path.join(this.folder, `${name}.json`);
    }

    private async start(): Promise<void> {
        for (const control of this.controls) {
            const initOutcome = await this.command(
                "init",
                "--settings",
                control.settingsFile,
                "--cluster",
                this.plan.cluster,
            );
            if (initOutcome.code !== 0) {
                throw new Error(initOutcome.output);
            }
        }
        this.daemons().forEach(daemon => daemon.start());
        await Promise.all(this.daemons().map(daemon => daemon.ready(setUpTimeoutMilliseconds)));
    }
}
