import { parseAddress } from "./address.js";
import { ConnectionFailure, openSocket } from "./connecting.js";

const probeTimeoutMilliseconds = 250;

/** Whether a process accepts connections at an address; `unknown` if there was no response. */
export type ListenStatus = "yes" | "no" | "unknown";

/**
 * Probes whether a process accepts connections at an address, "HOST:PORT". The connection is refused if the process has ended
 * and its host is still up; a broken link or a failed host gives no response. `localAddress`: where the probe is made from.
 */
export async function probeListening(address: string, localAddress?: string): Promise<ListenStatus> {
    const parsed = parseAddress(address);
    if (parsed === undefined) {
        return "unknown";
    }
    try {
        (await openSocket(parsed, probeTimeoutMilliseconds, localAddress)).destroy();
        return "yes";
    }
    catch (error) {
        return error instanceof ConnectionFailure && error.code === "ECONNREFUSED" ? "no" : "unknown";
    }
}
