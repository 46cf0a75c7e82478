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

    /** Kind and size of an entry, and a mark that changes whenever the file is written or replaced. */
    abstract fileStatus(
        name: string,
    ): Promise<{ readonly isFile: boolean; readonly bytes: number; readonly mark: string; }>;

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

    override async fileStatus(name: string): Promise<{ isFile: boolean; bytes: number; mark: string; }> {
        const found = await stat(path.join(this.root, name), { bigint: true });
        return {
            isFile: found.isFile(),
            bytes: Number(found.size),
            mark: `${found.ino}/${found.size}/${found.mtimeNs}/${found.ctimeNs}`,
        };
    }

    override read(name: string): Promise<Uint8Array> {
        return readFile(path.join(this.root, name));
    }
}

/** Reads a consistent snapshot of all configuration files in the folder, or returns the findings that prevent it. */
export async function readFolder(folder: Folder): Promise<Either<readonly Finding[], FolderContent>> {
    const listed = await list(folder);
    if (listed.isLeft()) {
        return Left(listed.extract() as Finding[]);
    }
    const names = listed.unsafeCoerce();
    const wanted = names.filter(isConfiguration);
    const wrongCount = countFindings(wanted.length);
    if (wrongCount.length > 0) {
        return Left(wrongCount);
    }
    const findings: Finding[] = [];
    const files: ConfigurationFile[] = [];
    const marks = new Map<string, string>();
    for (const name of wanted) {
        const outcome = await readOne(folder, name);
        outcome.caseOf({
            Left: finding => {
                findings.push(finding);
            },
            Right: ({ file, mark }) => {
                files.push(file);
                marks.set(name, mark);
            },
        });
    }
    findings.push(...await concurrentChanges(folder, wanted, marks));
    if (findings.length > 0) {
        return Left(findings);
    }
    return Right({ files, ignored: names.filter(name => !isConfiguration(name)) });
}

function isConfiguration(name: string): boolean {
    return name.endsWith(".json") && !/^[.#~]/.test(name);
}

async function list(folder: Folder): Promise<Either<readonly Finding[], readonly string[]>> {
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

async function readOne(
    folder: Folder,
    name: string,
): Promise<Either<Finding, { readonly file: ConfigurationFile; readonly mark: string; }>> {
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
        return Right({ file: { name, text }, mark: before.mark });
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

// While a tool is still writing the folder, a team's file may be missing or incomplete, and what looks like a complete
// change would remove its pools. Each file has to be unchanged after all files were read.
async function concurrentChanges(
    folder: Folder,
    wanted: readonly string[],
    marks: ReadonlyMap<string, string>,
): Promise<readonly Finding[]> {
    const listed = await list(folder);
    if (listed.isLeft()) {
        return listed.extract() as readonly Finding[];
    }
    const now = new Set(listed.unsafeCoerce().filter(isConfiguration));
    const added = [...now].filter(name => !wanted.includes(name));
    const findings = added.map(name => concurrentChangeFinding(name, "appeared"));
    for (const [name, mark] of marks) {
        const status = await folder.fileStatus(name).catch(() => undefined);
        if (status === undefined || !now.has(name)) {
            findings.push(concurrentChangeFinding(name, "vanished"));
        }
        else if (status.mark !== mark) {
            findings.push(concurrentChangeFinding(name, "was changed"));
        }
    }
    return findings;
}

function concurrentChangeFinding(name: string, what: string): Finding {
    return { file: name, place: "", cause: `${what} while the folder was read`, cure: "run the command again" };
}
