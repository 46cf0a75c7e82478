import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { ControlDaemon, initialiseControl } from "../../packages/basilpaddle/src/node/daemon/control/index.js";
import { type ControlSettings, controlSettingsSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../packages/basilpaddle/src/node/utils/index.js";
import { CuttableNetwork, Wiring } from "./cuttableNetwork.js";

/** Times short enough for tests, and long enough for a busy machine. */
export const groupTiming = {
    viewLease: 900,
    viewInterval: 50,
    sessionTimeout: 1_500,
    backendTimeout: 60_000,
    heartbeatInterval: 30,
    electionTimeout: 200,
};

/** A clock of one daemon that the test can put forward. */
export class ShiftedClock extends SystemClock {
    shift = 0;

    override monotonic(): number {
        return super.monotonic() + this.shift;
    }
}

/** Control daemons in one process, on real disks and loopback TCP. */
export class ControlGroup {
    readonly wiring = new Wiring();
    readonly clocks = new Map<string, ShiftedClock>();
    private readonly daemons = new Map<string, ControlDaemon>();

    private constructor(
        readonly names: readonly string[],
        private readonly folder: string,
        private readonly timing: ControlSettings["timing"],
    ) {}

    /** Initialises and starts all. */
    static async create(
        names: readonly string[],
        timing: Partial<ControlSettings["timing"]> = {},
    ): Promise<ControlGroup> {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "basilpaddle-control-"));
        const merged = { clockDrift: 0.02, ...groupTiming, ...timing };
        const group = new ControlGroup(names, folder, merged);
        for (const name of names) {
            await initialiseControl(group.settings(name), "test");
        }
        await Promise.all(names.map(name => group.start(name)));
        return group;
    }

    /** Starts a control daemon on its data folder. */
    async start(name: string): Promise<ControlDaemon> {
        const clock = new ShiftedClock();
        const daemon = await ControlDaemon.create({
            settings: this.settings(name),
            clock,
            randomness: SeededRandomness.create(this.portOf(name)),
            logger: createSilentLogger(),
            network: new CuttableNetwork(this.wiring, this.portOf(name)),
        });
        this.clocks.set(name, clock);
        this.daemons.set(name, daemon);
        this.wiring.ports.set(this.portOf(name), daemon.port());
        this.wiring.cutOff.delete(this.portOf(name));
        return daemon;
    }

    /** Ends a control daemon without a word to the others. */
    async kill(name: string): Promise<void> {
        this.cut(name);
        await this.stop(name);
    }

    /** Ends a control daemon in good order. */
    async stop(name: string): Promise<void> {
        const daemon = this.daemons.get(name)!;
        this.daemons.delete(name);
        await daemon.close();
    }

    /** Cuts a control daemon off from everybody. */
    cut(name: string): void {
        this.wiring.cutOff.add(this.portOf(name));
    }

    /** Ends the cut. */
    mend(name: string): void {
        this.wiring.cutOff.delete(this.portOf(name));
    }

    daemon(name: string): ControlDaemon {
        return this.daemons.get(name)!;
    }

    /** The control daemon that leads and isn't cut off. */
    async leader(): Promise<string> {
        return until(
            "a leader",
            () =>
                [...this.daemons].find(([name, daemon]) =>
                    daemon.status().replicaStatus().leading && !this.wiring.cutOff.has(this.portOf(name))
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
            controls: this.names.map(other => ({ name: other, host: "127.0.0.1", port: this.portOf(other) })),
            timing: this.timing,
            dataFolder: path.join(this.folder, name),
        });
    }

    /** Ends all and removes their data. */
    async close(): Promise<void> {
        await Promise.all([...this.daemons.keys()].map(name => this.stop(name)));
        await fs.rm(this.folder, { recursive: true });
    }

    /** The port of the settings; the wiring knows the real one. */
    private portOf(name: string): number {
        return this.names.indexOf(name) + 1;
    }
}

/** Looks again and again until there is something; fails after a generous time. */
export async function until<Value>(what: string, look: () => Value | undefined): Promise<Value> {
    for (const end = performance.now() + 30_000; performance.now() < end;) {
        const value = look();
        if (value !== undefined) {
            return value;
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    throw new Error(`There was no ${what} within 30 seconds.`);
}
