import type { Command, View } from "../../protocol/index.js";
import { type Reduction, sameIncarnation, stale, without } from "./reduction.js";
import { isOpen } from "./sessions.js";

type GrantLease = Extract<Command, { kind: "grantLease"; }>;
type ReleaseLease = Extract<Command, { kind: "releaseLease"; }>;

/** Grants a free lease; the log index becomes its fence. A repeated grant to the current holder returns the same fence. */
export function grantLease(view: View, index: number, command: GrantLease): Reduction {
    if (!isOpen(view, command.holder)) {
        return stale(view, `the session of ${command.holder.daemon} at this incarnation isn't open`);
    }
    const current = view.leases[command.lease];
    if (current !== undefined && sameIncarnation(current.holder, command.holder)) {
        return { view, result: { kind: "granted", fence: current.fence } };
    }
    if (current !== undefined && isOpen(view, current.holder)) {
        return { view, result: { kind: "held", holder: current.holder, fence: current.fence } };
    }
    return {
        view: { ...view, leases: { ...view.leases, [command.lease]: { holder: command.holder, fence: index } } },
        result: { kind: "granted", fence: index },
    };
}

/** Releases a lease on the request of its holder. */
export function releaseLease(view: View, index: number, command: ReleaseLease): Reduction {
    const held = view.leases[command.lease];
    if (held === undefined || !sameIncarnation(held.holder, command.holder)) {
        return stale(view, `${command.holder.daemon} doesn't hold ${command.lease} at this incarnation`);
    }
    return { view: { ...view, leases: without(view.leases, command.lease) }, result: { kind: "done", index } };
}
