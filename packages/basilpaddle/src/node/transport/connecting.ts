import * as net from "node:net";
import { afterPoll } from "../utils/index.js";
import type { NetworkAddress } from "./address.js";

/** Code of a connection that wasn't established in time. */
export const connectTimeoutCode = "NO_CONNECTION_IN_TIME";

/** A connection couldn't be established; nothing was sent. */
export class ConnectionFailure extends Error {
    private constructor(readonly code: string, message: string) {
        super(message);
    }

    static create(code: string, message: string): ConnectionFailure {
        return new ConnectionFailure(code, message);
    }
}

/**
 * Opens a connection within so many milliseconds; rejects with a `ConnectionFailure` otherwise. `localAddress`: where it is
 * made from; by default the operating system chooses.
 */
export function openSocket(address: NetworkAddress, timeout: number, localAddress?: string): Promise<net.Socket> {
    return new Promise((resolve, reject) => {
        const socket = net.connect({ ...address, noDelay: true, localAddress });
        const cancel = afterPoll(timeout, () => fail(connectTimeoutCode, `no connection within ${timeout} ms`));
        const fail = (code: string, message: string): void => {
            cancel();
            socket.destroy();
            reject(ConnectionFailure.create(code, message));
        };
        const onError = ({ code, message }: NodeJS.ErrnoException): void => fail(code ?? "UNKNOWN", message);
        socket.once("error", onError);
        socket.once("connect", () => {
            cancel();
            socket.off("error", onError);
            // An error before the new owner listens for errors would terminate the process; its owner detects the end by "close".
            socket.on("error", () => undefined);
            resolve(socket);
        });
    });
}
