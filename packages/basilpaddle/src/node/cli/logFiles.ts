import { readFile } from "node:fs/promises";
import { type LogLine, readLogLines } from "./explanation.js";
import type { Output } from "./output.js";

/**
 * Reads log files; `unread` is the number of their lines that aren't log lines. Resolves with undefined if a file can't be
 * read, after writing the problem to `output`.
 */
export async function readLogFiles(
    files: readonly string[],
    output: Output,
): Promise<{ readonly lines: readonly LogLine[]; readonly unread: number; } | undefined> {
    try {
        return readLogLines(await Promise.all(files.map(file => readFile(file, "utf8"))));
    }
    catch (error) {
        output.problem({ kind: "unreadable", message: (error as Error).message });
        return undefined;
    }
}
