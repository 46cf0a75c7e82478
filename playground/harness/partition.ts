import { interceptConnections, type PartitionKind, type RefusedPorts } from "./interceptedConnections.js";
import type { Relay } from "./relay.js";

export { type PartitionKind, partitionKinds } from "./interceptedConnections.js";

/** Partitions by the local address that connections are made from, and the ports to which they then can't be made. */
const partitions = new Map<string, RefusedPorts>();
let isInstalled = false;

/** Partitions a local address of this process from the targets of relays, as `kind` says. */
export function partition(localAddress: string, kind: PartitionKind, relays: readonly Relay[]): void {
    if (!isInstalled) {
        isInstalled = true;
        interceptConnections(source => partitions.get(source ?? ""));
    }
    partitions.set(localAddress, { kind, ports: relays.map(({ address }) => address.port) });
    partitionOpenConnections(localAddress, kind, relays);
}

/** Treats the open connections from a source as a partition does. */
export function partitionOpenConnections(localAddress: string, kind: PartitionKind, relays: readonly Relay[]): void {
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
