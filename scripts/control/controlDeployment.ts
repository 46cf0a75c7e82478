import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { PeerControlClient } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { type ControlSettings, controlSettingsSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { TcpNetwork } from "../../packages/basilpaddle/src/node/transport/index.js";
import { createSilentLogger, SystemClock, SystemRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Usage } from "./controlProcess.js";

const controlNames = ["control-a", "control-b", "control-c"];
const logger = createSilentLogger();

/** Three control daemons in separate processes with data folders on disk, and clients in this process. */
export class ControlDeployment {
    readonly clients: PeerControlClient[] = [];

    private constructor(
        private readonly folder: string,
        private readonly children: readonly ChildProcess[],
        private readonly settings: ControlSettings,
    ) {}

    static async create(): Promise<ControlDeployment> {
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "basilpaddle-measure-"));
        const ports = await findFreePorts(controlNames.length);
        const controls = controlNames.map((name, position) => ({ name, host: "127.0.0.1", port: ports[position]! }));
        const allSettings = controls.map(({ name, host, port }) =>
            controlSettingsSchema.parse({
                role: "control",
                name,
                failureDomain: "pocitos",
                operators: { host, port: 0 },
                peers: { host, port },
                controls,
                dataFolder: path.join(folder, name),
            })
        );
        const program = path.join(import.meta.dirname, "controlProcess.ts");
        const children = allSettings.map(settings =>
            fork(program, [JSON.stringify(settings)], { execArgv: ["--import=tsx"] })
        );
        await Promise.all(children.map(child => once(child, "message")));
        return new ControlDeployment(folder, children, allSettings[0]!);
    }

    /** Adds clients until there are `count`, and waits until each of them may start requests. */
    async addClients(count: number): Promise<void> {
        while (this.clients.length < count) {
            this.clients.push(PeerControlClient.create({
                session: { daemon: `entry-${this.clients.length}`, incarnation: "1" },
                failureDomain: "pocitos",
                peers: { host: "127.0.0.1", port: 1 },
                controls: this.settings.controls,
                timing: this.settings.timing,
                network: TcpNetwork.create(logger),
                clock: SystemClock.create(),
                randomness: SystemRandomness.create(),
                logger,
            }));
        }
        while (this.clients.some(client => !client.mayStart())) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    /** Reads CPU time and memory of each control daemon. */
    async readUsage(): Promise<readonly Usage[]> {
        return Promise.all(this.children.map(async child => {
            const answer = once(child, "message");
            child.send("usage");
            return (await answer)[0] as Usage;
        }));
    }

    async close(): Promise<void> {
        await Promise.all(this.clients.map(client => client.close()));
        await Promise.all(this.children.map(async child => {
            const exit = once(child, "exit");
            child.disconnect();
            await exit;
        }));
        await fs.rm(this.folder, { recursive: true });
    }
}

async function findFreePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => net.createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as net.AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
