import { readdir, readFile, stat } from "node:fs/promises";
import * as path from "node:path";
import { type Either, Left, Right } from "purify-ts";
import type { Finding } from "../../protocol/index.js";

/** Maximum size of a file in a configuration folder, in bytes. */
export const fileLimitBytes = 1024 * 1024;
/** Maximum number of files in a configuration folder. */
export const fileCountLimit = 1_000;

/** Name and text of a file read from the configuration folder. */
export type ConfigurationFile = {
    readonly name: string;
    readonly text: string;
};

/** A consistent snapshot of the configuration folder. */
export type FolderContent = {
    /** Sorted by name, by UTF-16 code unit. */
    readonly files: readonly ConfigurationFile[];
    /** Names that were ignored: hidden, backup and temporary files, and files that don't end in `.json`. */
    readonly ignored: readonly string[];
};

/** The folder operations that reading the configuration needs. Tests use a folder that changes while it is read. */
export abstract class Folder {
    /** Names of all entries of the folder. */
    abstract names(): Promise<readonly string[]>;

    /** Kind and size of an entry, and a fingerprint that changes whenever the file is written or replaced. */
    abstract fileStatus(
        name: string,
    ): Promise<{ readonly isFile: boolean; readonly bytes: number; readonly fingerprint: string; }>;

    /** The content of a file. */
    abstract read(name: string): Promise<Uint8Array>;
}

/** A folder of the host's file system. */
export class DiskFolder extends Folder {
    private constructor(private readonly root: string) {
        super();
    }

    static create(root: string): DiskFolder {
        return new DiskFolder(root);
    }

    override names(): Promise<readonly string[]> {
        return readdir(this.root);
    }

    override async fileStatus(name: string): Promise<{ isFile: boolean; bytes: number; fingerprint: string; }> {
        const fileStats = await stat(path.join(this.root, name), { bigint: true });
        return {
            isFile: fileStats.isFile(),
            bytes: Number(fileStats.size),
            fingerprint: `${fileStats.ino}/${fileStats.size}/${fileStats.mtimeNs}/${fileStats.ctimeNs}`,
        };
    }

    override read(name: string): Promise<Uint8Array> {
        return readFile(path.join(this.root, name));
    }
}

/** Reads a consistent snapshot of all configuration files in the folder, or returns the findings that prevent it. */
export async function readFolder(folder: Folder): Promise<Either<readonly Finding[], FolderContent>> {
    const listedNames = await listNames(folder);
    if (listedNames.isLeft()) {
        return Left(listedNames.extract() as Finding[]);
    }
    const names = listedNames.unsafeCoerce();
    const configurationNames = names.filter(isConfiguration);
    const wrongCountFindings = countFindings(configurationNames.length);
    if (wrongCountFindings.length > 0) {
        return Left(wrongCountFindings);
    }
    const findings: Finding[] = [];
    const files: ConfigurationFile[] = [];
    const fingerprints = new Map<string, string>();
    for (const name of configurationNames) {
        const outcome = await readConfigurationFile(folder, name);
        outcome.caseOf({
            Left: finding => {
                findings.push(finding);
            },
            Right: ({ file, fingerprint }) => {
                files.push(file);
                fingerprints.set(name, fingerprint);
            },
        });
    }
    findings.push(...await concurrentChangeFindings(folder, configurationNames, fingerprints));
    if (findings.length > 0) {
        return Left(findings);
    }
    return Right({ files, ignored: names.filter(name => !isConfiguration(name)) });
}

function isConfiguration(name: string): boolean {
    return name.endsWith(".json") && !/^[.#~]/.test(name);
}

async function listNames(folder: Folder): Promise<Either<readonly Finding[], readonly string[]>> {
    try {
        return Right([...await folder.names()].sort());
    }
    catch (error) {
        return Left([{
            file: ".",
            place: "",
            cause: `the folder can't be read: ${(error as Error).message}`,
            cure: "specify an existing folder that you have permission to read",
        }]);
    }
}

function countFindings(count: number): readonly Finding[] {
    if (count === 0) {
        // An empty folder is more likely mistyped or partially copied than meant to remove the whole configuration.
        return [{ file: ".", place: "", cause: "contains no .json file", cure: "check the folder's name" }];
    }
    if (count > fileCountLimit) {
        return [{ file: ".", place: "", cause: `contains ${count} files; the limit is ${fileCountLimit}` }];
    }
    return [];
}

async function readConfigurationFile(
    folder: Folder,
    name: string,
): Promise<Either<Finding, { readonly file: ConfigurationFile; readonly fingerprint: string; }>> {
    try {
        const before = await folder.fileStatus(name);
        if (!before.isFile) {
            return Left({ file: name, place: "", cause: "isn't a regular file", cure: "rename or remove it" });
        }
        if (before.bytes > fileLimitBytes) {
            return Left({ file: name, place: "", cause: `has ${before.bytes} bytes; the limit is ${fileLimitBytes}` });
        }
        const bytes = await folder.read(name);
        const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
        return Right({ file: { name, text }, fingerprint: before.fingerprint });
    }
    catch (error) {
        return Left(readFinding(name, error));
    }
}

function readFinding(name: string, error: unknown): Finding {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") {
        return { file: name, place: "", cause: "vanished while the folder was read", cure: "run the command again" };
    }
    if (error instanceof TypeError) {
        return { file: name, place: "", cause: "isn't valid UTF-8", cure: "save it as UTF-8" };
    }
    return { file: name, place: "", cause: `can't be read: ${(error as Error).message}` };
}

// While a tool is still writing the folder, a team's file may be missing or incomplete, and applying what was read would
// remove that team's pools. So each file has to be unchanged after all files were read.
async function concurrentChangeFindings(
    folder: Folder,
    configurationNames: readonly string[],
    fingerprints: ReadonlyMap<string, string>,
): Promise<readonly Finding[]> {
    const listedNames = await listNames(folder);
    if (listedNames.isLeft()) {
        return listedNames.extract() as readonly Finding[];
    }
    const namesAfter = new Set(listedNames.unsafeCoerce().filter(isConfiguration));
    const added = [...namesAfter].filter(name => !configurationNames.includes(name));
    const findings = added.map(name => concurrentChangeFinding(name, "appeared"));
    for (const [name, fingerprint] of fingerprints) {
        const status = await folder.fileStatus(name).catch(() => undefined);
        if (status === undefined || !namesAfter.has(name)) {
            findings.push(concurrentChangeFinding(name, "vanished"));
        }
        else if (status.fingerprint !== fingerprint) {
            findings.push(concurrentChangeFinding(name, "was changed"));
        }
    }
    return findings;
}

function concurrentChangeFinding(name: string, change: string): Finding {
    return { file: name, place: "", cause: `${change} while the folder was read`, cure: "run the command again" };
}
