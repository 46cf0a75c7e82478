import { type Command, ordersLease, type View } from "../../protocol/index.js";
import { type Reduction, stale, without } from "./reduction.js";

type AnnounceBackend = Extract<Command, { kind: "announceBackend"; }>;
type MarkBackend = Extract<Command, { kind: "markBackend"; }>;
type DrainBackend = Extract<Command, { kind: "drainBackend"; }>;
type Backend = View["backends"][string];

/** Maximum number of gone backend servers kept, to recognise a late command about an earlier incarnation. */
export const goneBackendLimit = 1_000;

/** Adds or updates a backend server. One that announced it is leaving returns only with a higher incarnation. */
export function announceBackend(view: View, index: number, command: AnnounceBackend): Reduction {
    const { announcement } = command;
    const known = view.backends[announcement.id];
    if (known !== undefined && announcement.incarnation < known.announcement.incarnation) {
        return stale(view, `incarnation ${known.announcement.incarnation} of ${announcement.id} is known`);
    }
    // An announcement that was in flight while the backend server left would otherwise bring it back into service, and
    // requests would be routed to a process that is shutting down.
    if (known !== undefined && announcement.incarnation === known.announcement.incarnation && hasLeft(known)) {
        return stale(view, `${announcement.id} said at this incarnation that it is leaving`);
    }
    // An engine announces itself again whenever its models change, also during the order that it was drained for. That
    // must not end the drain: the next order would abort the requests placed on it.
    const drained = known?.state === "draining" && known.announcement.incarnation === announcement.incarnation;
    const state = drained ? "draining" : "ready";
    return { view: withBackend(view, announcement.id, { announcement, state }), result: { kind: "done", index } };
}

/** Starts or ends draining an engine; the command needs the fence of the orders lease that is held now. */
export function drainBackend(view: View, index: number, command: DrainBackend): Reduction {
    const held = view.leases[ordersLease];
    if (held === undefined || held.fence !== command.fence) {
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

/** Marks a backend server as leaving or gone. A mark for another incarnation than the known one changes nothing. */
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

/** Moves the entry to the end, so that gone backend servers are in the order in which they went, and evicts the oldest. */
function withGone(view: View, id: string, backend: Backend): View {
    const backends = { ...without(view.backends, id), [id]: backend };
    const gone = Object.keys(backends).filter(key => backends[key]!.state === "gone");
    for (const key of gone.slice(0, Math.max(0, gone.length - goneBackendLimit))) {
        delete backends[key];
    }
    return { ...view, backends };
}
