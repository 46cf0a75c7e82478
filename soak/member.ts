import { appendFile, readdir, rm, writeFile } from "node:fs/promises";
import * as path from "node:path";
import { type PartitionKind, partitionOpenConnections, Program, Relay, until } from "../playground/harness/index.js";
import { PartitionFile } from "./partitionFile.js";

/** The program, built as for deployment. */
const programPath = "target/basilpaddle.cjs";
const settingsVariable = "BASILPADDLE_SETTINGS";
/** Longer than the configured shutdown time, so that a process that is still running has missed its own limit. */
const stopTimeoutMilliseconds = 15_000;
/** Start of a log record: a length prefix, followed by fewer bytes than that length. */
const tornRecord = Buffer.from([200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7]);

/** The fields of a daemon's settings that the soak reads; others are written as they are. */
export type MemberSettings = {
    readonly role: "gateway" | "directory";
    readonly name: string;
    /** The host that others connect to, where its relays listen, and the host that the daemon binds to behind them. */
    readonly host: string;
    readonly bindHost: string;
    readonly peerPort: number;
    readonly [field: string]: unknown;
};

/** One daemon as a real process, with relays in front of the ports that others connect to. */
export class Member {
    /** Number of starts so far. */
    incarnation = 0;
    /** Whether the soak itself stopped or killed it, or hasn't started it; if not, an exit is a violation. */
    expectedDown = true;
    private program: Program | undefined;
    private earlierOutput = "";
    private isPaused = false;
    private readonly partitionFile: PartitionFile;

    private constructor(
        private settings: MemberSettings,
        private readonly folder: string,
        /** Relays by the kind of connection that they accept: peers, calls, callers. */
        readonly relays: ReadonlyMap<string, Relay>,
    ) {
        this.partitionFile = PartitionFile.create(path.join(folder, `${settings.name}-partition.json`));
    }

    /** Writes the settings file and opens a relay on each port, without starting the process. */
    static async create(
        settings: MemberSettings,
        ports: Readonly<Record<string, number>>,
        folder: string,
    ): Promise<Member> {
        const relays = new Map<string, Relay>();
        for (const [name, port] of Object.entries(ports)) {
            const relay = await Relay.create(settings.host, port);
            relay.setTarget({ host: settings.bindHost, port });
            relays.set(name, relay);
        }
        const member = new Member(settings, folder, relays);
        await member.writeSettings({});
        return member;
    }

    get name(): string {
        return this.settings.name;
    }

    get host(): string {
        return this.settings.host;
    }

    get bindHost(): string {
        return this.settings.bindHost;
    }

    isRunning(): boolean {
        return this.program?.isRunning() === true;
    }

    /** Whether the process is running and not paused. */
    isAwake(): boolean {
        return this.isRunning() && !this.isPaused;
    }

    /** Merges fields into the settings file. */
    async writeSettings(change: Readonly<Record<string, unknown>>): Promise<void> {
        this.settings = { ...this.settings, ...change };
        await writeFile(this.settingsFile(), JSON.stringify(this.settings, undefined, 4));
    }

    start(): void {
        this.earlierOutput = this.output();
        this.incarnation += 1;
        this.isPaused = false;
        this.expectedDown = false;
        const { args, variables } = this.partitionFile.launch;
        this.program = Program.create(this.name, [...args, programPath], {
            ...variables,
            [settingsVariable]: this.settingsFile(),
        });
    }

    /** Sends SIGKILL and waits until the process has exited. */
    async kill(): Promise<void> {
        this.expectedDown = true;
        await this.program?.kill();
    }

    /** Sends SIGTERM; returns false if the process didn't exit in time, or had loaded its program and exited with an error. */
    async stop(): Promise<boolean> {
        this.expectedDown = true;
        const hadLoadedProgram = this.hasLoadedProgram();
        this.program?.signal("SIGTERM");
        try {
            await until(`${this.name} to exit`, () => Promise.resolve(!this.isRunning()), stopTimeoutMilliseconds);
        }
        catch {
            // The return value reports the timeout. The process is killed since it must not outlive the run.
            await this.program?.kill();
            return false;
        }
        // Before the program is loaded it has no signal handler: SIGTERM terminates it, and nothing has to be shut down.
        return !hadLoadedProgram || (await this.program?.end())?.code === 0;
    }

    /** Partitions the process from the targets of relays. */
    partition(kind: PartitionKind, relays: readonly Relay[]): void {
        this.partitionFile.write({ kind, ports: relays.map(({ address }) => address.port) });
        partitionOpenConnections(this.bindHost, kind, relays);
    }

    /** Ends a partition. */
    healPartition(relays: readonly Relay[]): void {
        this.partitionFile.remove();
        relays.forEach(relay => relay.removeStallsFrom(this.bindHost));
    }

    pause(): void {
        this.isPaused = true;
        this.program?.signal("SIGSTOP");
    }

    resume(): void {
        this.isPaused = false;
        this.program?.signal("SIGCONT");
    }

    /** Sends SIGHUP if the process has loaded its program; before that it has no handler, and SIGHUP would terminate it. */
    reload(): void {
        if (this.hasLoadedProgram()) {
            this.program?.signal("SIGHUP");
        }
    }

    /** Deletes its data folder; the process must not be running. */
    async deleteData(): Promise<void> {
        await rm(this.dataFolder(), { recursive: true, force: true });
    }

    /** Appends a partial record to its log, as a power failure leaves behind of a write that was never synced. */
    async appendTornRecord(): Promise<void> {
        const fileNames = await readdir(this.dataFolder());
        for (const name of fileNames.filter(file => file === "log")) {
            await appendFile(path.join(this.dataFolder(), name), tornRecord);
        }
    }

    /** How its process exited, with the last lines of its output. */
    exitDescription(): string {
        return this.program?.exitSummary() ?? "never started";
    }

    /** The output of all its incarnations. */
    output(): string {
        return this.earlierOutput + (this.program?.output() ?? "");
    }

    async close(): Promise<void> {
        this.resume();
        await this.kill();
        this.relays.forEach(relay => relay.close());
    }

    /** Whether the current incarnation has loaded the program: it has logged its first line. */
    private hasLoadedProgram(): boolean {
        return this.program?.output().includes("\"starting\"") === true;
    }

    private settingsFile(): string {
        return path.join(this.folder, `${this.name}.json`);
    }

    private dataFolder(): string {
        return path.join(this.folder, `data-${this.name}`);
    }
}
