import { fileURLToPath } from "node:url";
import type { AttemptRecord } from "../standins/attemptRecords.js";
import type { ReceivedOrder } from "../standins/orderExecutor.js";
import type { Fault } from "../standins/settings.js";
import { Program, type ProgramExit } from "./program.js";

const sources = {
    engine: fileURLToPath(new URL("../standins/engine.ts", import.meta.url)),
    service: fileURLToPath(new URL("../standins/service.ts", import.meta.url)),
};

/** A backend server stand-in that runs as a real process. */
export class Backend {
    private constructor(
        readonly id: string,
        private readonly program: Program,
        /** Base URL of its HTTP interface. */
        readonly url: string,
    ) {}

    /** Starts the process and waits until it listens. */
    static async create(kind: keyof typeof sources, settings: { readonly id: string; }): Promise<Backend> {
        const program = Program.create(settings.id, ["--import=tsx", sources[kind], JSON.stringify(settings)]);
        const { url } = JSON.parse(await program.line(/"ready":true/)) as { url: string; };
        return new Backend(settings.id, program, url);
    }

    /** The work that the engine did, by attempt. */
    async attemptRecords(): Promise<Record<string, AttemptRecord>> {
        return await this.read("/engine/v1/test/ran") as Record<string, AttemptRecord>;
    }

    /** Attempts that occupy a slot or memory of the engine. */
    async activeAttempts(): Promise<readonly string[]> {
        return (await this.read("/engine/v1/test/held") as { active: string[]; }).active;
    }

    /** The orders that the engine received, in order of arrival. */
    async orders(): Promise<readonly ReceivedOrder[]> {
        return await this.read("/engine/v1/test/orders") as ReceivedOrder[];
    }

    /** Number of runs by key at a plain service. */
    async runCounts(): Promise<Record<string, number>> {
        return await this.read("/test/runs") as Record<string, number>;
    }

    /** Injects a fault. */
    async fault(fault: Partial<Fault>): Promise<void> {
        const answer = await fetch(`${this.url}/fault`, { method: "POST", body: JSON.stringify(fault) });
        await answer.text();
    }

    signal(signal: NodeJS.Signals): void {
        this.program.signal(signal);
    }

    /** Resolves once the process has exited. */
    end(): Promise<ProgramExit> {
        return this.program.end();
    }

    async kill(): Promise<void> {
        await this.program.kill();
    }

    private async read(path: string): Promise<unknown> {
        const answer = await fetch(`${this.url}${path}`, { signal: AbortSignal.timeout(5_000) });
        return answer.json();
    }
}
