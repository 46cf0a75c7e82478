import { buildSync } from "esbuild";
import { renameSync, rmSync, writeFileSync } from "node:fs";
import type { RefusedPorts } from "../playground/harness/interceptedConnections.js";
import { partitionFileVariable } from "./partitionVariable.js";

/** The bundled module that makes a process read its partition file. */
const modulePath = "target/partitionedProcess.cjs";

/** The file that tells one process which new connections fail. */
export class PartitionFile {
    private constructor(private readonly path: string) {}

    static create(path: string): PartitionFile {
        return new PartitionFile(path);
    }

    /** Bundles the module; call it once before processes are started. */
    static buildModule(): void {
        const common = { bundle: true, platform: "node", format: "cjs", logLevel: "error" } as const;
        buildSync({ ...common, entryPoints: ["soak/partitionedProcess.ts"], outfile: modulePath });
    }

    /** Arguments and variables with which Node.js is started so that the process obeys the file. */
    get launch(): { readonly args: readonly string[]; readonly variables: Readonly<Record<string, string>>; } {
        return { args: ["--require", `./${modulePath}`], variables: { [partitionFileVariable]: this.path } };
    }

    /** Lets new connections to the ports fail. */
    write(refused: RefusedPorts): void {
        // Renamed into place, since the process may read it at any moment.
        writeFileSync(`${this.path}.new`, JSON.stringify(refused));
        renameSync(`${this.path}.new`, this.path);
    }

    /** Ends the partition. */
    remove(): void {
        rmSync(this.path, { force: true });
    }
}
