import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { until } from "./wait.js";

/** Exit code or terminating signal of a process. */
export type ProgramExit = { readonly code: number | undefined; readonly signal: string | undefined; };

/** Limits of the output excerpt in an exit summary: number of lines, and characters of each. */
const exitSummaryLines = 3;
const exitSummaryLineCharacters = 400;

const runningChildren = new Set<ChildProcess>();
// An aborted run must leave no processes behind.
process.once("exit", () => runningChildren.forEach(child => child.kill("SIGKILL")));

/** A child process with its captured output. Signals go only to the id of this process. */
export class Program {
    private text = "";
    private exitStatus: ProgramExit | undefined;
    private readonly exited: Promise<ProgramExit>;

    private constructor(readonly name: string, private readonly child: ChildProcess) {
        runningChildren.add(child);
        child.stdout?.on("data", (chunk: Buffer) => {
            this.text += chunk.toString();
        });
        child.stderr?.on("data", (chunk: Buffer) => {
            this.text += chunk.toString();
        });
        this.exited = once(child, "close").then(([code, signal]) => {
            runningChildren.delete(child);
            this.exitStatus = {
                code: (code ?? undefined) as number | undefined,
                signal: (signal ?? undefined) as string | undefined,
            };
            return this.exitStatus;
        });
    }

    /** Starts Node.js with the arguments; the variables are added to the environment of this process. */
    static create(name: string, args: readonly string[], variables: Readonly<Record<string, string>> = {}): Program {
        const env = { ...process.env, ...variables };
        return new Program(name, spawn(process.execPath, args, { env, stdio: ["ignore", "pipe", "pipe"] }));
    }

    /** Everything written to stdout and stderr so far. */
    output(): string {
        return this.text;
    }

    /** Exit code, signal and last output lines, for test messages. */
    exitSummary(): string {
        const lines = this.text.trimEnd().split("\n").slice(-exitSummaryLines);
        const { code, signal } = this.exitStatus ?? {};
        return `code ${code ?? "none"}, signal ${signal ?? "none"}:\n${
            lines.map(line => line.slice(0, exitSummaryLineCharacters)).join("\n")
        }`;
    }

    /** Waits for an output line that matches the pattern. Fails if the process exits without one. */
    async line(pattern: RegExp): Promise<string> {
        return until(`${this.name}: a line that matches ${pattern}`, async () => {
            const line = this.text.split("\n").slice(0, -1).find(written => pattern.test(written));
            if (line === undefined && !this.isRunning()) {
                throw new Error(`${this.name} exited without a matching line:\n${this.text}`);
            }
            return line;
        });
    }

    isRunning(): boolean {
        return runningChildren.has(this.child);
    }

    /** Sends a signal, for example SIGSTOP, SIGCONT or SIGKILL; does nothing if the process has exited. */
    signal(signal: NodeJS.Signals): void {
        if (this.isRunning()) {
            this.child.kill(signal);
        }
    }

    /** Resolves once the process has exited. */
    end(): Promise<ProgramExit> {
        return this.exited;
    }

    /** Kills the process without a shutdown, as a power loss would, and waits for its exit. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.exited;
    }
}
