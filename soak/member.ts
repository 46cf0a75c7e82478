import { appendFile, readdir, rm, writeFile } from "node:fs/promises";
import * as path from "node:path";
import { Program, Relay, until } from "../playground/harness/index.js";

/** The program as the deploy file builds it. */
const bundle = "target/basilpaddle.cjs";
const settingsVariable = "BASILPADDLE_SETTINGS";
/** Milliseconds for a process that was told to stop, beyond the time that it may take. */
const stopPatience = 15_000;
/** A record's beginning: its length, and less than that of its bytes. */
const tornRecord = Buffer.from([200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7]);

/** A daemon's settings, as far as the soak looks at them. */
export type MemberSettings = {
    readonly role: "gateway" | "directory";
    readonly name: string;
    /** The address by which others know it, and the one that it really has, behind the relays. */
    readonly host: string;
    readonly bindHost: string;
    readonly peerPort: number;
    readonly [field: string]: unknown;
};

/** One daemon as a real process, behind relays for all that others call it by. */
export class Member {
    /** Rises with each start. */
    life = 0;
    /** Whether the soak itself ended it, or lets it be ended. */
    expectedDown = true;
    private program: Program | undefined;
    private earlier = "";
    private stopped = false;

    private constructor(
        private settings: MemberSettings,
        private readonly folder: string,
        /** Relays by the name of what is called there: peers, calls, callers. */
        readonly relays: ReadonlyMap<string, Relay>,
    ) {}

    /** Writes the settings file and opens a relay on each port; doesn't start the process. */
    static async create(
        settings: MemberSettings,
        ports: Readonly<Record<string, number>>,
        folder: string,
    ): Promise<Member> {
        const relays = new Map<string, Relay>();
        for (const [name, port] of Object.entries(ports)) {
            const relay = await Relay.create(settings.host, port);
            relay.to({ host: settings.bindHost, port });
            relays.set(name, relay);
        }
        const member = new Member(settings, folder, relays);
        await member.write({});
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

    /** Whether it runs and isn't paused. */
    isAwake(): boolean {
        return this.isRunning() && !this.stopped;
    }

    /** Changes fields of the settings file. */
    async write(change: Readonly<Record<string, unknown>>): Promise<void> {
        this.settings = { ...this.settings, ...change };
        await writeFile(this.file(), JSON.stringify(this.settings, undefined, 4));
    }

    start(): void {
        this.earlier = this.output();
        this.life += 1;
        this.stopped = false;
        this.expectedDown = false;
        this.program = Program.create(this.name, [bundle], { [settingsVariable]: this.file() });
    }

    /** SIGKILL. */
    async kill(): Promise<void> {
        this.expectedDown = true;
        await this.program?.kill();
    }

    /** SIGTERM; gives whether it ended in time and well. */
    async stop(): Promise<boolean> {
        this.expectedDown = true;
        const hasBegun = this.hasBegun();
        this.program?.signal("SIGTERM");
        try {
            await until(`${this.name} to end`, () => Promise.resolve(!this.isRunning()), stopPatience);
        }
        catch {
            // Said by the return value; a process that hangs must not outlive the run.
            await this.program?.kill();
            return false;
        }
        // Before the program is loaded, the signal itself ends the process; there is nothing to be shut down in order.
        return !hasBegun || (await this.program?.end())?.code === 0;
    }

    pause(): void {
        this.stopped = true;
        this.program?.signal("SIGSTOP");
    }

    resume(): void {
        this.stopped = false;
        this.program?.signal("SIGCONT");
    }

    /** SIGHUP, unless the process has yet to load its program: before that, nothing in it can listen for a signal. */
    reload(): void {
        if (this.hasBegun()) {
            this.program?.signal("SIGHUP");
        }
    }

    /** Takes its disk away; it must be down. */
    async wipe(): Promise<void> {
        await rm(this.dataFolder(), { recursive: true, force: true });
    }

    /** Leaves a part of a record at the end of its log, as a loss of power does with a write that was never synced. */
    async tear(): Promise<void> {
        const names = await readdir(this.dataFolder());
        for (const name of names.filter(file => file === "log")) {
            await appendFile(path.join(this.dataFolder(), name), tornRecord);
        }
    }

    /** How its process ended, with its last lines. */
    lastWords(): string {
        return this.program?.lastWords() ?? "never started";
    }

    /** All that it has written, over its restarts. */
    output(): string {
        return this.earlier + (this.program?.output() ?? "");
    }

    async close(): Promise<void> {
        this.resume();
        await this.kill();
        this.relays.forEach(relay => relay.close());
    }

    /** Whether the process has loaded its program in this life: its first line is out. */
    private hasBegun(): boolean {
        return this.program?.output().includes("\"starting\"") === true;
    }

    private file(): string {
        return path.join(this.folder, `${this.name}.json`);
    }

    private dataFolder(): string {
        return path.join(this.folder, `data-${this.name}`);
    }
}
