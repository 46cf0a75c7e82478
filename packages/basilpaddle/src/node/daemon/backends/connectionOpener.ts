import type { Socket } from "node:net";
import type { ServerAnnouncement } from "../../protocol/index.js";
import { ConnectionFailure, openSocket, parseAddress } from "../../transport/index.js";

/**
 * Timeout for establishing a connection; a host that has failed sends no response at all. It is short enough that a prompt's KV
 * cache, which is kept for half a second, can still be offered to another engine; a lost packet costs a second either way.
 */
export const connectTimeoutMilliseconds = 250;

/** Whether a connection leads to its backend server itself, or through another gateway. */
export type ConnectionWay = "direct" | "relayed";

/** Opens connections to backend servers. */
export abstract class ConnectionOpener {
    readonly way: ConnectionWay = "direct";

    /** Rejects with a `ConnectionFailure` if none can be established. */
    abstract open(server: ServerAnnouncement): Promise<Socket>;
}

/** Opens connections to backend servers' own addresses. */
export class DirectOpener extends ConnectionOpener {
    private constructor(private readonly localAddress: string | undefined) {
        super();
    }

    /** `localAddress`: where connections are made from; by default the operating system chooses. */
    static create(localAddress?: string): DirectOpener {
        return new DirectOpener(localAddress);
    }

    override open({ address }: ServerAnnouncement): Promise<Socket> {
        const parsed = parseAddress(address);
        return parsed === undefined
            ? Promise.reject(ConnectionFailure.create("INVALID_ADDRESS", `not an address: ${address}`))
            : openSocket(parsed, connectTimeoutMilliseconds, this.localAddress);
    }
}
