import { type Command, ordersLease, type View } from "../../protocol/index.js";
import { type Reduction, stale, without } from "./reduction.js";

type AnnounceBackend = Extract<Command, { kind: "announceBackend"; }>;
type MarkBackend = Extract<Command, { kind: "markBackend"; }>;
type DrainBackend = Extract<Command, { kind: "drainBackend"; }>;
type Backend = View["backends"][string];

/** Maximum number of `gone` backend servers kept, so that late commands about earlier incarnations are rejected. */
export const goneBackendLimit = 1_000;

/** Adds or updates a backend server. After this incarnation was marked as leaving, only a higher one is accepted. */
export function announceBackend(view: View, index: number, command: AnnounceBackend): Reduction {
    const { announcement } = command;
    const current = view.backends[announcement.id];
    if (current !== undefined && announcement.incarnation < current.announcement.incarnation) {
        return stale(view, `incarnation ${current.announcement.incarnation} of ${announcement.id} is known`);
    }
    // An announcement that was in flight while the backend server left would otherwise bring it back into service, and
    // requests would be routed to a process that is shutting down.
    if (current !== undefined && announcement.incarnation === current.announcement.incarnation && hasLeft(current)) {
        return stale(view, `${announcement.id} said at this incarnation that it is leaving`);
    }
    // An engine announces itself again whenever its models change, also during the order that it was drained for. That
    // must not end the drain: the next order would abort the requests placed on it.
    const wasDraining = current?.state === "draining" && current.announcement.incarnation === announcement.incarnation;
    const state = wasDraining ? "draining" : "ready";
    return { view: withBackend(view, announcement.id, { announcement, state }), result: { kind: "done", index } };
}

/** Starts or ends draining an engine; the command needs the fence of the orders lease that is held now. */
export function drainBackend(view: View, index: number, command: DrainBackend): Reduction {
    const lease = view.leases[ordersLease];
    if (lease === undefined || lease.fence !== command.fence) {
        return stale(view, `the orders lease isn't held under ${command.fence}`);
    }
    const known = view.backends[command.id];
    if (known === undefined || known.announcement.incarnation !== command.incarnation) {
        return stale(view, `incarnation ${command.incarnation} of ${command.id} isn't the known one`);
    }
    if (known.state !== "ready" && known.state !== "draining") {
        return stale(view, `${command.id} is ${known.state}`);
    }
    const state = command.draining ? "draining" : "ready";
    return { view: withBackend(view, command.id, { ...known, state }), result: { kind: "done", index } };
}

/** Marks a backend server as `leaving` or `gone`. The command is stale if another incarnation is the current one. */
export function markBackend(view: View, index: number, command: MarkBackend): Reduction {
    const known = view.backends[command.id];
    if (known === undefined || known.announcement.incarnation !== command.incarnation) {
        return stale(view, `incarnation ${command.incarnation} of ${command.id} isn't the known one`);
    }
    const done: Reduction["result"] = { kind: "done", index };
    if (command.mark === "leaving") {
        const state = known.state === "gone" ? "gone" : "leaving";
        return { view: withBackend(view, command.id, { ...known, state, left: true }), result: done };
    }
    if (known.state === "gone") {
        return { view, result: done };
    }
    return { view: withGone(view, command.id, { ...known, state: "gone" }), result: done };
}

function hasLeft(backend: Backend): boolean {
    return backend.state === "leaving" || backend.left === true;
}

function withBackend(view: View, id: string, backend: Backend): View {
    return { ...view, backends: { ...view.backends, [id]: backend } };
}

/** Moves the entry to the end, so that `gone` entries are ordered by when they were marked, and evicts the oldest. */
function withGone(view: View, id: string, backend: Backend): View {
    const backends = { ...without(view.backends, id), [id]: backend };
    const gone = Object.keys(backends).filter(key => backends[key]!.state === "gone");
    for (const key of gone.slice(0, Math.max(0, gone.length - goneBackendLimit))) {
        delete backends[key];
    }
    return { ...view, backends };
}
