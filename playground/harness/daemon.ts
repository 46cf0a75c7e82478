import { writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { resolveSettings } from "../../packages/basilpaddle/src/node/daemon/start/index.js";
import { type ControlSettings, type EntrySettings, formatFinding } from "../../packages/basilpaddle/src/node/index.js";
import { Program, type ProgramEnd } from "./program.js";
import { until } from "./wait.js";

/** The program as it is built and shipped. */
export const bin = fileURLToPath(new URL("../../packages/basilpaddle/bin/basilpaddle.js", import.meta.url));

type Address = { readonly host: string; readonly port: number; };

/** Writes an address as `host:port`. */
export function at({ host, port }: Address): string {
    return `${host}:${port}`;
}

/** A daemon as a real process, which can be started again with the same settings. */
export class Daemon<S extends ControlSettings | EntrySettings = ControlSettings | EntrySettings> {
    private program: Program | undefined;
    private earlier = "";

    private constructor(readonly settings: S, private readonly file: string) {}

    /** Writes the settings file and resolves it; doesn't start the process. */
    static async create<S extends ControlSettings | EntrySettings>(
        written: Readonly<Record<string, unknown>>,
        file: string,
    ): Promise<Daemon<S>> {
        await writeFile(file, JSON.stringify(written, undefined, 4));
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

    /** Operators' address. */
    get operators(): string {
        return at(this.settings.operators);
    }

    get settingsFile(): string {
        return this.file;
    }

    /** Starts the process, without waiting for anything. */
    start(): void {
        this.earlier = this.output();
        this.program = Program.create(this.name, [bin, this.settings.role, "--settings", this.file]);
    }

    isRunning(): boolean {
        return this.program?.isRunning() === true;
    }

    /** Waits until its readiness probe answers with 200. */
    async ready(limit?: number): Promise<void> {
        await until(`${this.name} ready`, async () => {
            if (!this.isRunning()) {
                throw new Error(`${this.name} has ended:\n${this.output()}`);
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

    /** Settles once the process has ended. */
    async end(): Promise<ProgramEnd> {
        return await this.program?.end() ?? { code: undefined, signal: undefined };
    }

    /** All that it has logged, over its restarts. */
    output(): string {
        return this.earlier + (this.program?.output() ?? "");
    }
}
