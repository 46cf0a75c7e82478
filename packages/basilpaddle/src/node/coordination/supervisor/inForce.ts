import type { Timing, View } from "../../protocol/index.js";
import type { LivenessTable } from "./livenessTable.js";

/** A change that is committed by a quorum. */
export type CommittedChange = {
    readonly index: number;
    /** Monotonic milliseconds at which this control daemon learned that the change is committed. */
    readonly committedAt: number;
};

/** Whether a change is in force on every daemon that may start work. */
export type InForceStatus =
    | { readonly kind: "inForce"; }
    | {
        readonly kind: "waiting";
        /** Daemons with an open session that haven't confirmed the change. */
        readonly daemons: readonly string[];
        /** Monotonic milliseconds at which the change is in force at the latest. */
        readonly until: number;
    };

/**
 * Determines whether a change is in force on every daemon. An entry daemon starts work only under a view lease, and after a
 * change is committed no lease is granted or extended for a view without it. So the change is in force as soon as every
 * daemon that may hold a lease has confirmed it, and at the latest when all leases granted before it have expired.
 */
export class InForceTracker {
    private readonly leaseMilliseconds: number;

    private constructor(timing: Pick<Timing, "viewLease" | "clockDrift">, private lastSessionClosedAt: number) {
        this.leaseMilliseconds = timing.viewLease * (1 + timing.clockDrift);
    }

    /** `now`: when this control daemon started. It doesn't know about sessions that were closed before. */
    static create(timing: Pick<Timing, "viewLease" | "clockDrift">, now: number): InForceTracker {
        return new InForceTracker(timing, now);
    }

    /**
     * Records that a session was closed without a request of its daemon, or may have been closed unnoticed. The daemon may
     * still hold a view lease, and its confirmation is no longer required. If that lease weren't waited for, a change would be
     * reported as in force while a partitioned daemon still starts work under the old view.
     */
    recordSessionClosed(now: number): void {
        this.lastSessionClosedAt = Math.max(this.lastSessionClosedAt, now);
    }

    /** Whether the change is in force, as far as a leader knows that was elected at `leadingSince`. */
    status(
        change: CommittedChange,
        leadingSince: number,
        view: View,
        liveness: LivenessTable,
        now: number,
    ): InForceStatus {
        const inForceAt = Math.max(change.committedAt, leadingSince) + this.leaseMilliseconds;
        if (now >= inForceAt) {
            return { kind: "inForce" };
        }
        const daemons = Object.values(view.sessions)
            .filter(({ session }) => (liveness.session(session)?.applied ?? 0) < change.index)
            .map(({ session }) => session.daemon);
        // While the quorum was lost, refusals of voters may have extended the lease of a daemon whose session was closed,
        // however long ago that was. Its lease counts as expired one view lease after this leader was elected, not
        // earlier.
        const closedSessionsExpireAt = Math.max(this.lastSessionClosedAt, leadingSince) + this.leaseMilliseconds;
        if (daemons.length === 0 && now >= closedSessionsExpireAt) {
            return { kind: "inForce" };
        }
        return {
            kind: "waiting",
            daemons,
            until: daemons.length === 0 ? Math.min(inForceAt, closedSessionsExpireAt) : inForceAt,
        };
    }
}
