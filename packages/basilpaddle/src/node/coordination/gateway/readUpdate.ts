import { findingsFromZodError, type WatchUpdate, watchUpdateSchema } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { WatchedDirectory } from "./watchedDirectory.js";

/** Only the first findings of an update that can't be read are logged. */
const maxLoggedFindings = 3;
const listFields = ["announced", "ejected", "nearLimit", "usedUp", "serverLimits", "crashes"] as const;

/** Reads a directory's update without the entries that can't be read; undefined if the update as a whole can't be. */
export function readUpdate(
    received: unknown,
    { name, reached, asked }: Pick<WatchedDirectory, "name" | "reached" | "asked">,
    logger: Logger,
): WatchUpdate | undefined {
    const parsed = watchUpdateSchema.safeParse(received);
    if (!parsed.success) {
        // It is asked again several times a second: only the first failure is logged.
        if (reached || !asked) {
            const findings = findingsFromZodError("update", parsed.error).slice(0, maxLoggedFindings);
            logger.warn("cannot read a directory's update", { directory: name, findings });
        }
        return undefined;
    }
    const unreadable = countUnreadableEntries(received as WatchUpdate, parsed.data);
    if (Object.keys(unreadable).length > 0) {
        logger.warn("left out what can't be read in a directory's update", { directory: name, unreadable });
    }
    return parsed.data;
}

/** Number of entries that were left out, by field. */
function countUnreadableEntries(received: WatchUpdate, read: WatchUpdate): Readonly<Record<string, number>> {
    const counts = listFields.map(field =>
        [field, (received[field]?.length ?? 0) - (read[field]?.length ?? 0)] as const
    );
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
}
