import type { Command, Incarnation, View } from "../../protocol/index.js";
import { type Reduction, sameIncarnation, stale, without } from "./reduction.js";

type OpenSession = Extract<Command, { kind: "openSession"; }>;
type CloseSession = Extract<Command, { kind: "closeSession"; }>;

/** Whether the session of this incarnation of the daemon is open. */
export function isOpen(view: View, session: Incarnation): boolean {
    const open = view.sessions[session.daemon]?.session;
    return open !== undefined && sameIncarnation(open, session);
}

/** Opens a session. It replaces the session of an earlier incarnation of the same daemon and frees its leases. */
export function openSession(view: View, index: number, command: OpenSession): Reduction {
    const { session, failureDomain, peers } = command;
    const earlier = view.sessions[session.daemon]?.session;
    const replaced = earlier !== undefined && !sameIncarnation(earlier, session);
    return {
        view: {
            ...view,
            sessions: { ...view.sessions, [session.daemon]: { session, failureDomain, peers } },
            leases: replaced ? leasesNotHeldBy(view, earlier) : view.leases,
        },
        result: { kind: "done", index },
    };
}

/** Closes a session and frees its leases. The command is stale if the session isn't open any more. */
export function closeSession(view: View, index: number, command: CloseSession): Reduction {
    if (!isOpen(view, command.session)) {
        return stale(view, `the session of ${command.session.daemon} at this incarnation isn't open`);
    }
    return {
        view: {
            ...view,
            sessions: without(view.sessions, command.session.daemon),
            leases: leasesNotHeldBy(view, command.session),
        },
        result: { kind: "done", index },
    };
}

function leasesNotHeldBy(view: View, holder: Incarnation): View["leases"] {
    return Object.fromEntries(
        Object.entries(view.leases).filter(([, lease]) => !sameIncarnation(lease.holder, holder)),
    );
}
