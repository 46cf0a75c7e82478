import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { until } from "./wait.js";

/** How a process ended. */
export type ProgramEnd = { readonly code: number | undefined; readonly signal: string | undefined; };

/** Lines, and characters of each, that tell how a process ended. */
const lastLines = 3;
const longestLine = 400;

const alive = new Set<ChildProcess>();
// A run that is broken off must leave nothing behind.
process.once("exit", () => alive.forEach(child => child.kill("SIGKILL")));

/** A real process with its output. It is signalled by its own id only. */
export class Program {
    private text = "";
    private how: ProgramEnd | undefined;
    private readonly ended: Promise<ProgramEnd>;

    private constructor(readonly name: string, private readonly child: ChildProcess) {
        alive.add(child);
        child.stdout?.on("data", (chunk: Buffer) => {
            this.text += chunk.toString();
        });
        child.stderr?.on("data", (chunk: Buffer) => {
            this.text += chunk.toString();
        });
        this.ended = once(child, "close").then(([code, signal]) => {
            alive.delete(child);
            this.how = {
                code: (code ?? undefined) as number | undefined,
                signal: (signal ?? undefined) as string | undefined,
            };
            return this.how;
        });
    }

    /** Starts Node with the arguments, and with variables beside those of this process. */
    static create(name: string, args: readonly string[], variables: Readonly<Record<string, string>> = {}): Program {
        const env = { ...process.env, ...variables };
        return new Program(name, spawn(process.execPath, args, { env, stdio: ["ignore", "pipe", "pipe"] }));
    }

    /** All that it has written. */
    output(): string {
        return this.text;
    }

    /** How it ended, with its last lines; for messages of tests. */
    lastWords(): string {
        const lines = this.text.trimEnd().split("\n").slice(-lastLines);
        const { code, signal } = this.how ?? {};
        return `code ${code ?? "none"}, signal ${signal ?? "none"}:\n${
            lines.map(line => line.slice(0, longestLine)).join("\n")
        }`;
    }

    /** Waits for a line of its output that fits. */
    async line(pattern: RegExp): Promise<string> {
        return until(`${this.name}: a line like ${pattern}`, async () => {
            const line = this.text.split("\n").slice(0, -1).find(written => pattern.test(written));
            if (line === undefined && !this.isRunning()) {
                throw new Error(`${this.name} has ended:\n${this.text}`);
            }
            return line;
        });
    }

    isRunning(): boolean {
        return alive.has(this.child);
    }

    /** Sends a signal; SIGSTOP, SIGCONT and SIGKILL among them. */
    signal(signal: NodeJS.Signals): void {
        if (this.isRunning()) {
            this.child.kill(signal);
        }
    }

    /** Settles once the process has ended. */
    end(): Promise<ProgramEnd> {
        return this.ended;
    }

    /** Kills it as a power cut would, and waits until it is gone. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.ended;
    }
}
