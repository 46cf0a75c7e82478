import type { CommittedChange, ReplicaStatus } from "../../coordination/index.js";
import type { Incarnation, View } from "../../protocol/index.js";
import type { AuditEntry, AuditQuery, HistoryEntry } from "../../state/index.js";
import type { ControlCore } from "./core.js";

/** Status of an open session of an entry daemon, as known to this control daemon. */
export type OpenSessionStatus = {
    readonly session: Incarnation;
    readonly failureDomain: string;
    /** Latest view index that the entry daemon reported as applied; undefined if no heartbeat was received here. */
    readonly applied: number | undefined;
    /** Latest revision that it reported as applied; undefined if no heartbeat was received here. */
    readonly revision: number | undefined;
    /** Milliseconds since its last heartbeat that was received here. */
    readonly silence: number | undefined;
};

/** On which daemons the accepted configuration is in force. */
export type ConfigurationStatus = {
    readonly revision: number;
    /** Whether it is in force on every daemon that may start work, as far as this control daemon knows. */
    readonly inForceEverywhere: boolean;
    /** Daemons with an open session that haven't confirmed it. */
    readonly waitingFor: readonly string[];
};

/** Status of a control daemon as reported to operators. */
export class ControlStatus {
    private lastChange: CommittedChange;

    private constructor(private readonly core: ControlCore) {
        this.lastChange = this.currentChange();
    }

    static create(core: ControlCore): ControlStatus {
        return new ControlStatus(core);
    }

    /** Status of the replica and its group. */
    replicaStatus(): ReplicaStatus {
        return this.core.replica.currentStatus();
    }

    /**
     * Whether the replica led throughout a round trip to a quorum that began after the call; `timeout` is in milliseconds.
     */
    confirmLeadership(timeout: number): Promise<boolean> {
        return this.core.replica.confirmLeadership(timeout);
    }

    /** The view after the commands that were applied here. */
    view(): View {
        return this.core.ledger.view();
    }

    /** Status of every open session. */
    sessions(): readonly OpenSessionStatus[] {
        const now = this.core.clock.monotonic();
        return Object.values(this.view().sessions).map(({ session, failureDomain }) => {
            const heartbeat = this.core.livenessTable.session(session);
            return {
                session,
                failureDomain,
                applied: heartbeat?.applied,
                revision: heartbeat?.revision,
                silence: heartbeat === undefined ? undefined : now - heartbeat.heardAt,
            };
        });
    }

    /** On which daemons the accepted configuration is in force. */
    configuration(): ConfigurationStatus {
        const { replica, clock, inForce, livenessTable } = this.core;
        const now = clock.monotonic();
        const leadingSince = replica.currentStatus().leadingSince ?? now;
        const status = inForce.status(this.lastChange, leadingSince, this.view(), livenessTable, now);
        return {
            revision: this.view().configuration.revision,
            inForceEverywhere: status.kind === "inForce",
            waitingFor: status.kind === "inForce" ? [] : status.daemons,
        };
    }

    /** Entries of the audit trail, newest first. */
    audit(query: AuditQuery): readonly AuditEntry[] {
        return this.core.ledger.auditPage(query);
    }

    /** Accepted configurations, oldest first. */
    history(): readonly HistoryEntry[] {
        return this.core.ledger.history();
    }

    /** Number of stored run records, and the size of their recorded answers in bytes. */
    runUsage(): { readonly records: number; readonly answerBytes: number; } {
        return this.core.ledger.runUsage();
    }

    /** Records that a change of the configuration was applied, or that a snapshot replaced the state. */
    recordChange(): void {
        this.lastChange = this.currentChange();
    }

    private currentChange(): CommittedChange {
        return { index: this.core.ledger.view().index, committedAt: this.core.clock.monotonic() };
    }
}
