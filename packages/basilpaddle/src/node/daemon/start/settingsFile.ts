import { readFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";
import { type Finding, formatFinding } from "../../protocol/index.js";
import { afterPoll, SystemClock } from "../../utils/index.js";

/** Milliseconds between two looks at a file that isn't whole. */
const lookInterval = 50;
/** Milliseconds without a change after which nobody is taken to be writing the file. */
const stillFor = 3_000;
/** Milliseconds after which a file that goes on changing is given up too. */
const longestWait = 10_000;

/** Is told once why a file isn't whole yet, before it is looked at again. */
export type WaitNotice = (finding: Finding) => void;

/** Tells a person at the terminal, or whoever collects this output, that the start waits for the file. */
export function noticeOnStandardError(finding: Finding): void {
    const wait = `it may be being written; looked at again until it has stood still for ${stillFor / 1_000} s`;
    process.stderr.write(`${formatFinding({ ...finding, cure: wait })}\n`);
}

/**
 * Reads the text of a JSON file as soon as it is whole. Whoever writes a file without renaming another one leaves a time in
 * which it is empty, cut short or absent, and a daemon that starts just then would end. Gives what there is, or why
 * there is nothing, once the file stands still.
 */
export async function readWhenWhole(file: string, notice: WaitNotice): Promise<Either<Finding, string>> {
    const clock = SystemClock.create();
    const since = clock.monotonic();
    let found = await readText(file);
    let changedAt = since;
    for (let looks = 1; !isWhole(found); looks++) {
        const now = clock.monotonic();
        if (now - changedAt >= stillFor || now - since >= longestWait) {
            return found;
        }
        if (looks === 1) {
            notice(found.swap().orDefault({ file, place: "", cause: "isn't whole" }));
        }
        await new Promise<void>(resolve => afterPoll(lookInterval, resolve));
        const next = await readText(file);
        changedAt = next.orDefault("") === found.orDefault("") ? changedAt : clock.monotonic();
        found = next;
    }
    return found;
}

async function readText(file: string): Promise<Either<Finding, string>> {
    try {
        return Right(await readFile(file, "utf8"));
    }
    catch (error) {
        return Left({
            file,
            place: "",
            cause: `can't be read: ${(error as Error).message}`,
            cure: "name a settings file that exists and that this user may read",
        });
    }
}

function isWhole(text: Either<Finding, string>): boolean {
    try {
        JSON.parse(text.orDefault("").replace(/^\uFEFF/, ""));
        return true;
    }
    catch {
        return false;
    }
}
