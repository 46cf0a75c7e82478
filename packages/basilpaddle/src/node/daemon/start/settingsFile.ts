import { readFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";
import { type Finding, formatFinding } from "../../protocol/index.js";
import { afterPoll, SystemClock } from "../../utils/index.js";

/** Interval at which an incomplete file is read again. */
const pollIntervalMilliseconds = 50;
/** Time without a change after which the file is assumed not to be written any more. */
const stableAfterMilliseconds = 3_000;
/** Time after which waiting ends even if the file keeps changing. */
const maximumWaitMilliseconds = 10_000;

/** Called once with the reason why a file is incomplete, before the file is read again. */
export type WaitNotice = (finding: Finding) => void;

/** Prints on standard error that the start waits for the file. */
export function printWaitNotice(finding: Finding): void {
    const wait = `it may still be being written; rereading it until it hasn't changed for ${
        stableAfterMilliseconds / 1_000
    } s`;
    process.stderr.write(`${formatFinding({ ...finding, cure: wait })}\n`);
}

/**
 * Reads the text of a JSON file once it is complete. A file that is written in place, rather than renamed into place, is
 * empty, truncated or absent for a while, and a daemon that starts in that time would fail. Once the file has stopped
 * changing, returns its text as it is, or why it can't be read.
 */
export async function readWhenComplete(file: string, notice: WaitNotice): Promise<Either<Finding, string>> {
    const clock = SystemClock.create();
    const startedAt = clock.monotonic();
    let current = await readText(file);
    let changedAt = startedAt;
    for (let reads = 1; !isValidJson(current); reads++) {
        const now = clock.monotonic();
        if (now - changedAt >= stableAfterMilliseconds || now - startedAt >= maximumWaitMilliseconds) {
            return current;
        }
        if (reads === 1) {
            notice(current.swap().orDefault({ file, place: "", cause: "isn't complete JSON" }));
        }
        await new Promise<void>(resolve => afterPoll(pollIntervalMilliseconds, resolve));
        const next = await readText(file);
        changedAt = next.orDefault("") === current.orDefault("") ? changedAt : clock.monotonic();
        current = next;
    }
    return current;
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

function isValidJson(text: Either<Finding, string>): boolean {
    try {
        JSON.parse(text.orDefault("").replace(/^\uFEFF/, ""));
        return true;
    }
    catch {
        return false;
    }
}
