import { type Command, type CommandResult, declarationSchema, type View } from "../../protocol/index.js";
import { Invariant } from "../invariant.js";
import { announceBackend, drainBackend, markBackend } from "./backends.js";
import { changeConfiguration, type DecidedChange, DecidedChanges } from "./configuration.js";
import { grantLease, releaseLease } from "./leases.js";
import { type Reduction, stale } from "./reduction.js";
import { closeSession, isOpen, openSession } from "./sessions.js";
import { moveTraffic } from "./traffic.js";

/** Operator and change ID of the initial configuration, revision 0, which declares nothing. */
const initialAuthor = "nobody";
/** Rejected as a name, since codecs and plain objects treat it specially. */
const reservedName = "__proto__";

/**
 * Applies view commands to a view. Control daemons and entry daemons use the same rules, so that the same steps give
 * the same view. Views are immutable: a view that was returned doesn't change afterwards.
 */
export class ViewState {
    private constructor(private current: View, private readonly decided: DecidedChanges) {}

    /** The view before the first command. */
    static create(): ViewState {
        return ViewState.fromSnapshot(emptyView());
    }

    /** Continues from a view. A ledger also passes its decided changes; a follower doesn't need them. */
    static fromSnapshot(view: View, decided: readonly DecidedChange[] = []): ViewState {
        return new ViewState(view, DecidedChanges.create(decided));
    }

    /** The view after the last applied command. */
    view(): View {
        return this.current;
    }

    /** First results of changes, oldest first. */
    decidedChanges(): readonly DecidedChange[] {
        return this.decided.list();
    }

    /** The first result of the change, if it is still stored. */
    firstChangeResult(changeId: string): CommandResult | undefined {
        return this.decided.firstResult(changeId);
    }

    /** Applies a committed view command. Throws if the index doesn't increase or an invariant of the view is violated. */
    apply(index: number, command: Command): CommandResult {
        Invariant.assert(index > this.current.index, `view index ${index} isn't above ${this.current.index}`);
        const before = this.current;
        const reduction = this.reduce(index, command);
        this.current = { ...reduction.view, index };
        assertMonotonic(before, this.current);
        return reduction.result;
    }

    private reduce(index: number, command: Command): Reduction {
        const view = this.current;
        if (namesAddedBy(command).includes(reservedName)) {
            return stale(view, `${reservedName} can't be used as a name`);
        }
        switch (command.kind) {
            case "changeConfiguration":
                return this.decideChange(command.change);
            case "openSession":
                return openSession(view, index, command);
            case "closeSession":
                return closeSession(view, index, command);
            case "grantLease":
                return grantLease(view, index, command);
            case "releaseLease":
                return releaseLease(view, index, command);
            case "announceBackend":
                return announceBackend(view, index, command);
            case "markBackend":
                return markBackend(view, index, command);
            case "drainBackend":
                return drainBackend(view, index, command);
            case "moveTraffic":
                return moveTraffic(view, index, command);
            default:
                throw new TypeError(`${command.kind} is not a view command`);
        }
    }

    private decideChange(change: Parameters<typeof changeConfiguration>[1]): Reduction {
        const first = this.decided.firstResult(change.changeId);
        if (first !== undefined) {
            return { view: this.current, result: first };
        }
        const reduction = changeConfiguration(this.current, change);
        this.decided.add(change.changeId, reduction.result);
        return reduction;
    }
}

/** The view before the first command. */
export function emptyView(): View {
    return {
        index: 0,
        configuration: {
            revision: 0,
            changeId: initialAuthor,
            operator: initialAuthor,
            declaration: declarationSchema.parse({}),
        },
        sessions: {},
        leases: {},
        backends: {},
    };
}

function namesAddedBy(command: Command): readonly string[] {
    switch (command.kind) {
        case "openSession":
            return [command.session.daemon];
        case "grantLease":
            return [command.lease];
        case "announceBackend":
            return [command.announcement.id];
        default:
            return [];
    }
}

function assertMonotonic(before: View, after: View): void {
    const { revision } = before.configuration;
    Invariant.assert(
        after.configuration.revision >= revision,
        `revision ${after.configuration.revision} after ${revision}`,
    );
    if (after.leases === before.leases) {
        return;
    }
    for (const [name, lease] of Object.entries(after.leases)) {
        const earlier = before.leases[name];
        Invariant.assert(earlier === undefined || lease.fence >= earlier.fence, `fence ${lease.fence} of ${name} fell`);
        Invariant.assert(lease.fence <= after.index, `fence ${lease.fence} of ${name} is ahead of the log`);
        Invariant.assert(isOpen(after, lease.holder), `${name} is held by a closed session`);
    }
}
