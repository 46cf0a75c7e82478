import type { ServerAnnouncement } from "../../protocol/index.js";

/** Only the first of several backend servers are named in one log line. */
export const maxLoggedServers = 60;

/** The first backend servers for a log line, each as "ID STATE SEQUENCE", followed by its software version if it reports one. */
export function describeServers(servers: readonly ServerAnnouncement[]): readonly string[] {
    return servers.slice(0, maxLoggedServers).map(({ id, state, sequence, softwareVersion }) => {
        return `${id} ${state} ${sequence}${softwareVersion === undefined ? "" : ` ${softwareVersion}`}`;
    });
}
