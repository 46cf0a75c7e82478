import type { PartitionKind } from "../../playground/harness/partition.js";
import type { PartitionDay } from "./partitionSimulation.js";

const domains = [3, 3, 2];

/** Sets of gateways that are partitioned together, by name; gateways are numbered through the failure domains. */
export const partitionedSets: Readonly<Record<string, PartitionDay["partitioned"]>> = {
    "one": gateway => gateway === 0,
    "a third": gateway => gateway === 0 || gateway === 3 || gateway === 6,
    "a domain": (_, domain) => domain === 1,
    "all but one": gateway => gateway > 0,
    "all": () => true,
};

/** A day of 30 s on which a set of gateways is partitioned for 12 s. */
export function partitionDay(name: string, kind: PartitionKind): PartitionDay {
    const partitioned = partitionedSets[name];
    if (partitioned === undefined) {
        throw new Error(`there is no set of gateways ${name}`);
    }
    return { domains, servers: 16, requestsPerSecond: 54, partitioned, kind, from: 8_000, to: 20_000, length: 26_000 };
}
