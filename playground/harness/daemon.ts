import { writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { resolveSettings } from "../../packages/basilpaddle/src/node/daemon/start/index.js";
import { type ControlSettings, type EntrySettings, formatFinding } from "../../packages/basilpaddle/src/node/index.js";
import { Program, type ProgramExit } from "./program.js";
import { until } from "./wait.js";

/** Path of the built program. */
export const bin = fileURLToPath(new URL("../../packages/basilpaddle/bin/basilpaddle.js", import.meta.url));

type Address = { readonly host: string; readonly port: number; };

/** Formats an address as `host:port`. */
export function formatAddress({ host, port }: Address): string {
    return `${host}:${port}`;
}

/** A daemon that runs as a real process and can be restarted with the same settings. */
export class Daemon<S extends ControlSettings | EntrySettings = ControlSettings | EntrySettings> {
    private program: Program | undefined;
    private previousOutput = "";

    private constructor(readonly settings: S, private readonly file: string) {}

    /** Writes and resolves the settings file; doesn't start the process. Throws if the settings have findings. */
    static async create<S extends ControlSettings | EntrySettings>(
        settingsInput: Readonly<Record<string, unknown>>,
        file: string,
    ): Promise<Daemon<S>> {
        await writeFile(file, JSON.stringify(settingsInput, undefined, 4));
        const resolved = await resolveSettings(file);
        return resolved.caseOf({
            Left: findings => {
                throw new Error(findings.map(formatFinding).join("\n"));
            },
            Right: settings => new Daemon(settings as S, file),
        });
    }

    get name(): string {
        return this.settings.name;
    }

    /** Address of the operators' interface. */
    get operators(): string {
        return formatAddress(this.settings.operators);
    }

    get settingsFile(): string {
        return this.file;
    }

    /** Starts the process without waiting until it is ready. */
    start(): void {
        this.previousOutput = this.output();
        this.program = Program.create(this.name, [bin, this.settings.role, "--settings", this.file]);
    }

    isRunning(): boolean {
        return this.program?.isRunning() === true;
    }

    /** Waits until the readiness probe returns 200; the limit is in milliseconds. */
    async ready(limit?: number): Promise<void> {
        await until(`${this.name} to be ready`, async () => {
            if (!this.isRunning()) {
                throw new Error(`${this.name} exited before it was ready:\n${this.output()}`);
            }
            return this.isReady();
        }, limit);
    }

    async isReady(): Promise<boolean> {
        const probe = await fetch(`http://${this.operators}/readyz`, { signal: AbortSignal.timeout(2_000) });
        await probe.text();
        return probe.status === 200;
    }

    signal(signal: NodeJS.Signals): void {
        this.program?.signal(signal);
    }

    async kill(): Promise<void> {
        await this.program?.kill();
    }

    /** Resolves once the process has exited. */
    async end(): Promise<ProgramExit> {
        return await this.program?.end() ?? { code: undefined, signal: undefined };
    }

    /** Output of the daemon across its restarts. */
    output(): string {
        return this.previousOutput + (this.program?.output() ?? "");
    }
}
