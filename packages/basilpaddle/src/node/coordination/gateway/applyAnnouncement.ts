import type { ServerAnnouncement } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { InstanceTable } from "./instanceTable.js";

/**
 * Applies an announcement to a daemon's table, and logs it if a backend server's state changed by it: a request's log line
 * names its servers, and these lines tell why each was considered ready. Returns what `InstanceTable.apply` returns.
 */
export function applyAnnouncement(
    instances: InstanceTable,
    announced: ServerAnnouncement,
    source: string,
    logger: Logger,
): boolean {
    const { id, state, sequence } = announced;
    const before = instances.get(id);
    const hasChanged = instances.apply(announced);
    const after = instances.get(id);
    if (before?.state !== after?.state) {
        logger.info("the known state of a backend server changed", {
            id,
            from: before?.state ?? "unknown",
            to: after?.state ?? "left",
            announced: state,
            source,
            sequence,
            previousSequence: before?.sequence,
        });
    }
    return hasChanged;
}
