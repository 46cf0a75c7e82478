import { type Either, Left } from "purify-ts";
import type { Declaration, Finding } from "../../protocol/index.js";
import { type ConfigurationFile, DiskFolder, readFolder } from "./folder.js";
import { mergeFiles } from "./merge.js";

/** A valid configuration that was read from a folder. */
export type Configuration = {
    readonly declaration: Declaration;
    /** The files that it was merged from, sorted by name. */
    readonly files: readonly ConfigurationFile[];
    /** Names in the folder that were ignored. */
    readonly ignored: readonly string[];
};

/** Reads and merges a configuration folder, or returns the findings. */
export async function loadConfiguration(root: string): Promise<Either<readonly Finding[], Configuration>> {
    const content = await readFolder(DiskFolder.create(root));
    if (content.isLeft()) {
        return Left(content.extract() as readonly Finding[]);
    }
    const { files, ignored } = content.unsafeCoerce();
    return mergeFiles(files).map(declaration => ({ declaration, files, ignored }));
}
