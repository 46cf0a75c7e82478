import { readFile } from "node:fs/promises";
import { type LogLine, readLogLines } from "./explanation.js";
import type { Output } from "./output.js";

/** The lines of log files, and how many of theirs aren't log lines; undefined where a file can't be read, which is told. */
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
