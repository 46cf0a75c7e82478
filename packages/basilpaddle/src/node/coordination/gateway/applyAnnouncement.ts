import type { ServerAnnouncement } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { InstanceTable } from "./instanceTable.js";

/**
 * Applies an announcement to a daemon's table, and logs it if a backend server's state changed by it: a request's log line
 * names its servers, and these lines tell why each was considered ready. A server that becomes known as ready is named in the line
 * of its update instead: there are a thousand at once after a start. Returns what `InstanceTable.apply` returns.
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
    const becameKnown = before === undefined && after?.state === "ready";
    if (before?.state !== after?.state && !becameKnown) {
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
