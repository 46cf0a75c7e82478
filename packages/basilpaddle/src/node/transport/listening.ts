import * as net from "node:net";
import { afterPoll } from "../utils/index.js";
import { parseAddress } from "./address.js";

/** Milliseconds for an answer to come. */
const patience = 250;

/** Whether anything takes connections at an address; `unknown` where no answer came. */
export type Listening = "yes" | "no" | "unknown";

/**
 * Looks whether anything takes connections at an address, "HOST:PORT". Nothing does once a process has ended whose host goes
 * on; a cut link and a lost host give no answer.
 */
export function listens(address: string): Promise<Listening> {
    const parsed = parseAddress(address);
    if (parsed === undefined) {
        return Promise.resolve("unknown");
    }
    return new Promise(resolve => {
        const socket = net.connect(parsed);
        const settle = (found: Listening): void => {
            cancel();
            socket.destroy();
            resolve(found);
        };
        const cancel = afterPoll(patience, () => settle("unknown"));
        socket.once("connect", () => settle("yes"));
        socket.on("error", (failure: NodeJS.ErrnoException) => {
            settle(failure.code === "ECONNREFUSED" ? "no" : "unknown");
        });
    });
}
