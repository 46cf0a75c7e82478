import { createHash } from "node:crypto";
import { type Command, type Incarnation, ordersLease, schedulerLease, type View } from "../../protocol/index.js";

/** Names of all leases that must have a holder. */
export function requiredLeases(view: View): readonly string[] {
    return [ordersLease, ...Object.keys(view.configuration.declaration.pools).map(schedulerLease)];
}

/**
 * Commands that grant unheld leases to the candidates with the fewest leases. Ties are broken by a hash of lease and daemon,
 * so that no daemon is preferred for every lease.
 */
export function leaseGrants(view: View, candidates: readonly Incarnation[], at: number): Command[] {
    const leaseCounts = new Map(candidates.map(candidate => [candidate.daemon, 0]));
    for (const { holder } of Object.values(view.leases)) {
        leaseCounts.set(holder.daemon, (leaseCounts.get(holder.daemon) ?? 0) + 1);
    }
    const commands: Command[] = [];
    for (const lease of requiredLeases(view).filter(name => view.leases[name] === undefined)) {
        const holder = chooseHolder(lease, candidates, leaseCounts);
        if (holder !== undefined) {
            leaseCounts.set(holder.daemon, leaseCounts.get(holder.daemon)! + 1);
            commands.push({ kind: "grantLease", lease, holder, at });
        }
    }
    return commands;
}

/** Commands that release the scheduler leases of pools that are no longer declared. */
export function leaseReleases(view: View, at: number): Command[] {
    const requiredNames = new Set(requiredLeases(view));
    return Object.entries(view.leases)
        .filter(([lease]) => !requiredNames.has(lease))
        .map(([lease, { holder }]) => ({ kind: "releaseLease", lease, holder, at }));
}

function chooseHolder(
    lease: string,
    candidates: readonly Incarnation[],
    leaseCounts: ReadonlyMap<string, number>,
): Incarnation | undefined {
    const minLeaseCount = Math.min(...candidates.map(candidate => leaseCounts.get(candidate.daemon)!));
    return candidates
        .filter(candidate => leaseCounts.get(candidate.daemon) === minLeaseCount)
        .map(candidate => ({ candidate, weight: tieBreakHash(lease, candidate.daemon) }))
        .reduce<{ candidate: Incarnation; weight: string; } | undefined>(
            (best, other) => (best === undefined || other.weight > best.weight ? other : best),
            undefined,
        )?.candidate;
}

function tieBreakHash(lease: string, daemon: string): string {
    return createHash("sha1").update(`${lease}\n${daemon}`).digest("hex");
}
