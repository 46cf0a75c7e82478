import { readFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";
import { type Finding, formatFinding } from "../../protocol/index.js";
import { afterPoll, SystemClock } from "../../utils/index.js";

/** Interval at which an incomplete file is read again. */
const pollIntervalMilliseconds = 50;
/** Time without a change after which the file is assumed to be complete. */
const stableAfterMilliseconds = 3_000;
/** Time after which waiting ends even if the file keeps changing. */
const maxWaitMilliseconds = 10_000;

/** Called once with the reason why a file is incomplete, before the file is read again. */
export type WaitNotice = (finding: Finding) => void;

/** Prints on standard error that the daemon waits for the file before it starts. */
export function printWaitNotice(finding: Finding): void {
    const retryNotice = `another process may still be writing the file; retrying until it hasn't changed for ${
        stableAfterMilliseconds / 1_000
    } s`;
    process.stderr.write(`${formatFinding({ ...finding, cure: retryNotice })}\n`);
}

/**
 * Reads the text of a JSON file once it is complete. A file that is written in place, rather than renamed into place, is
 * absent, empty or truncated for a while, and a daemon that starts in that time would fail. If the file stops changing
 * without becoming complete, returns its text as it is, or why it can't be read.
 */
export async function readWhenComplete(file: string, notice: WaitNotice): Promise<Either<Finding, string>> {
    const clock = SystemClock.create();
    const startedAt = clock.monotonic();
    let current = await readText(file);
    let changedAt = startedAt;
    for (let readCount = 1; !isValidJson(current); readCount++) {
        const now = clock.monotonic();
        if (now - changedAt >= stableAfterMilliseconds || now - startedAt >= maxWaitMilliseconds) {
            return current;
        }
        if (readCount === 1) {
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
