import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { ControlDaemon, initialiseControl } from "../../packages/basilpaddle/src/node/daemon/control/index.js";
import { type ControlSettings, controlSettingsSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../packages/basilpaddle/src/node/utils/index.js";
import { NetworkTopology, PartitionableNetwork } from "./partitionableNetwork.js";

/** Timing in milliseconds: short enough for tests, yet long enough for a machine under load. */
export const groupTiming = {
    viewLease: 900,
    viewInterval: 50,
    sessionTimeout: 1_500,
    backendTimeout: 60_000,
    heartbeatInterval: 30,
    electionTimeout: 200,
};

/** The clock of one daemon, which a test can set forward. */
export class ShiftedClock extends SystemClock {
    /** Milliseconds by which the clock is ahead of the system clock. */
    shift = 0;

    override monotonic(): number {
        return super.monotonic() + this.shift;
    }
}

/** A group of control daemons in one process, with real data folders and TCP connections over the loopback interface. */
export class ControlGroup {
    readonly topology = new NetworkTopology();
    readonly clocks = new Map<string, ShiftedClock>();
    private readonly daemons = new Map<string, ControlDaemon>();

    private constructor(
        readonly names: readonly string[],
        private readonly folder: string,
        private readonly timing: ControlSettings["timing"],
    ) {}

    /** Initialises and starts all daemons. `timing` overrides parts of `groupTiming`. */
    static async create(
        names: readonly string[],
        timing: Partial<ControlSettings["timing"]> = {},
    ): Promise<ControlGroup> {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "basilpaddle-control-"));
        const mergedTiming = { clockDrift: 0.02, ...groupTiming, ...timing };
        const group = new ControlGroup(names, folder, mergedTiming);
        for (const name of names) {
            await initialiseControl(group.settings(name), "test");
        }
        await Promise.all(names.map(name => group.start(name)));
        return group;
    }

    /** Starts a control daemon with its existing data folder, and reconnects it. */
    async start(name: string): Promise<ControlDaemon> {
        const clock = new ShiftedClock();
        const daemon = await ControlDaemon.create({
            settings: this.settings(name),
            clock,
            randomness: SeededRandomness.create(this.configuredPortOf(name)),
            logger: createSilentLogger(),
            network: new PartitionableNetwork(this.topology, this.configuredPortOf(name)),
        });
        this.clocks.set(name, clock);
        this.daemons.set(name, daemon);
        this.topology.actualPorts.set(this.configuredPortOf(name), daemon.port());
        this.topology.isolatedPorts.delete(this.configuredPortOf(name));
        return daemon;
    }

    /** Isolates a control daemon and then closes it, so that it can't notify the others. */
    async kill(name: string): Promise<void> {
        this.isolate(name);
        await this.stop(name);
    }

    /** Closes a control daemon gracefully. */
    async stop(name: string): Promise<void> {
        const daemon = this.daemons.get(name)!;
        this.daemons.delete(name);
        await daemon.close();
    }

    /** Drops all messages to and from a control daemon. */
    isolate(name: string): void {
        this.topology.isolatedPorts.add(this.configuredPortOf(name));
    }

    /** Delivers messages to and from a control daemon again. */
    reconnect(name: string): void {
        this.topology.isolatedPorts.delete(this.configuredPortOf(name));
    }

    daemon(name: string): ControlDaemon {
        return this.daemons.get(name)!;
    }

    /** Name of the leader, once a control daemon that isn't isolated leads. */
    async leader(): Promise<string> {
        return pollUntilDefined(
            "a leader",
            () =>
                [...this.daemons].find(([name, daemon]) =>
                    daemon.status().replicaStatus().leading
                    && !this.topology.isolatedPorts.has(this.configuredPortOf(name))
                )?.[0],
        );
    }

    settings(name: string): ControlSettings {
        const address = { host: "127.0.0.1", port: 0 };
        return controlSettingsSchema.parse({
            role: "control",
            name,
            failureDomain: "pocitos",
            operators: address,
            peers: address,
            controls: this.names.map(other => ({ name: other, host: "127.0.0.1", port: this.configuredPortOf(other) })),
            timing: this.timing,
            dataFolder: path.join(this.folder, name),
        });
    }

    /** Closes all daemons and deletes their data folders. */
    async close(): Promise<void> {
        await Promise.all([...this.daemons.keys()].map(name => this.stop(name)));
        await fs.rm(this.folder, { recursive: true });
    }

    /** Port in the settings, which identifies the daemon; the network maps it to the port that the daemon listens on. */
    private configuredPortOf(name: string): number {
        return this.names.indexOf(name) + 1;
    }
}

/** Polls until a value is defined and returns it. @throws Error after 30 seconds, with the description of the value */
export async function pollUntilDefined<Value>(description: string, poll: () => Value | undefined): Promise<Value> {
    for (const end = performance.now() + 30_000; performance.now() < end;) {
        const value = poll();
        if (value !== undefined) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error(`Timed out after 30 seconds waiting for: ${description}`);
}
