import type { ServerAdmission } from "../../coordination/index.js";
import type { ServerAnnouncement } from "../../protocol/index.js";

/** How long a request waits for room at an engine that names a limit. */
const roomWaitMilliseconds = 300;

/**
 * Waits until a request's engines have room, if they name limits; returns the id of one that has none within a short time.
 * Both are asked before the prefill, which would be wasted if the run had no room.
 */
export async function admitEngines(
    admission: ServerAdmission,
    prefill: ServerAnnouncement | undefined,
    decode: ServerAnnouncement,
): Promise<string | undefined> {
    for (const { id } of prefill === undefined ? [decode] : [prefill, decode]) {
        if (!await admission.admit(id, roomWaitMilliseconds)) {
            return id;
        }
    }
    return undefined;
}
