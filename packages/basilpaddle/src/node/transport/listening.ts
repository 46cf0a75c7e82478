import * as net from "node:net";
import { afterPoll } from "../utils/index.js";
import { parseAddress } from "./address.js";

const probeTimeoutMilliseconds = 250;

/** Whether a process accepts connections at an address; `unknown` if there was no response. */
export type ListenStatus = "yes" | "no" | "unknown";

/**
 * Probes whether a process accepts connections at an address, "HOST:PORT". The connection is refused if the process has ended
 * and its host is still up; a broken link or a failed host gives no response.
 */
export function probeListening(address: string): Promise<ListenStatus> {
    const parsed = parseAddress(address);
    if (parsed === undefined) {
        return Promise.resolve("unknown");
    }
    return new Promise(resolve => {
        const socket = net.connect(parsed);
        const settle = (status: ListenStatus): void => {
            cancel();
            socket.destroy();
            resolve(status);
        };
        const cancel = afterPoll(probeTimeoutMilliseconds, () => settle("unknown"));
        socket.once("connect", () => settle("yes"));
        socket.on("error", (failure: NodeJS.ErrnoException) => {
            settle(failure.code === "ECONNREFUSED" ? "no" : "unknown");
        });
    });
}
