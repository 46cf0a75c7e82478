import * as net from "node:net";
import type { Relay } from "./relay.js";

/**
 * How a partition treats connections. `hang`: open ones go silent and new ones are never established. `reset`: all are reset, new
 * ones too. `refuse`: open ones work on, and new ones are refused.
 */
export const partitionKinds = ["hang", "reset", "refuse"] as const;

/** How a partition treats connections. */
export type PartitionKind = typeof partitionKinds[number];

type ConnectOptions = { readonly host?: string; readonly port?: number; readonly localAddress?: string; };

/** Partitions by the local address that connections are made from, and the ports to which they then can't be made. */
const partitions = new Map<string, { readonly kind: PartitionKind; readonly ports: ReadonlySet<number>; }>();
let isInstalled = false;

/**
 * Partitions a local address of this process from ports: new connections from it fail as `kind` says. With no ports the
 * partition ends. A relay can't do that: the operating system accepts connections before it, from any source.
 */
export function partitionNewConnections(
    localAddress: string,
    kind: PartitionKind,
    ports: ReadonlySet<number>,
): void {
    install();
    partitions.set(localAddress, { kind, ports });
}

/** Partitions a local address of this process from the targets of relays, as `kind` says. */
export function partition(localAddress: string, kind: PartitionKind, relays: readonly Relay[]): void {
    partitionNewConnections(localAddress, kind, new Set(relays.map(({ address }) => address.port)));
    if (kind === "hang") {
        relays.forEach(relay => relay.stallFrom(localAddress));
    }
    if (kind === "reset") {
        relays.forEach(relay => relay.resetFrom(localAddress));
    }
}

/** Ends a partition. */
export function healPartition(localAddress: string, relays: readonly Relay[]): void {
    partitions.delete(localAddress);
    relays.forEach(relay => relay.removeStallsFrom(localAddress));
}

function install(): void {
    if (isInstalled) {
        return;
    }
    isInstalled = true;
    const connect = net.Socket.prototype.connect as (this: net.Socket, ...args: unknown[]) => net.Socket;
    function connectUnlessPartitioned(this: net.Socket, ...args: unknown[]): net.Socket {
        const { localAddress, port } = connectOptions(args[0]);
        const found = partitions.get(localAddress ?? "");
        if (found === undefined || port === undefined || !found.ports.has(Number(port))) {
            return connect.apply(this, args);
        }
        if (found.kind !== "hang") {
            const code = found.kind === "reset" ? "ECONNRESET" : "ECONNREFUSED";
            setImmediate(() => this.destroy(Object.assign(new Error(`connect ${code}`), { code })));
        }
        return this;
    }
    net.Socket.prototype.connect = connectUnlessPartitioned as typeof net.Socket.prototype.connect;
}

/** The options of a connect call, which `net.connect` passes on in a list. */
function connectOptions(first: unknown): ConnectOptions {
    const options = Array.isArray(first) ? first[0] as unknown : first;
    return Object(options) === options ? options as ConnectOptions : {};
}
