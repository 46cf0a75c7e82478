import * as net from "node:net";

/**
 * How a partition treats connections. `hang`: open ones go silent and new ones are never established. `reset`: all are reset, new
 * ones too. `refuse`: open ones work on, and new ones are refused.
 */
export const partitionKinds = ["hang", "reset", "refuse"] as const;

/** How a partition treats connections. */
export type PartitionKind = typeof partitionKinds[number];

/** Ports to which new connections fail, and how. */
export type RefusedPorts = { readonly kind: PartitionKind; readonly ports: readonly number[]; };

type ConnectOptions = { readonly port?: number; readonly localAddress?: string; };

/**
 * Intercepts all new connections of this process: those to the ports that the function returns for their local address fail.
 * A relay can't do that: the operating system accepts connections before it, from any source.
 */
export function interceptConnections(find: (localAddress: string | undefined) => RefusedPorts | undefined): void {
    const connect = net.Socket.prototype.connect as (this: net.Socket, ...args: unknown[]) => net.Socket;
    function connectUnlessPartitioned(this: net.Socket, ...args: unknown[]): net.Socket {
        const { localAddress, port } = connectOptions(args[0]);
        const refused = find(localAddress);
        if (refused === undefined || !refused.ports.includes(Number(port))) {
            return connect.apply(this, args);
        }
        if (refused.kind !== "hang") {
            const code = refused.kind === "reset" ? "ECONNRESET" : "ECONNREFUSED";
            setImmediate(() => this.destroy(Object.assign(new Error(`connect ${code}`), { code })));
        }
        return this;
    }
    net.Socket.prototype.connect = connectUnlessPartitioned as typeof net.Socket.prototype.connect;
}

/** The options of a connect call, which `net.connect` passes on in a list. */
function connectOptions(first: unknown): ConnectOptions {
    const options: unknown = Array.isArray(first) ? first[0] : first;
    return Object(options) === options ? options as ConnectOptions : {};
}
