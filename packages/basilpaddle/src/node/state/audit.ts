import { z } from "zod";
import type { Command, CommandResult } from "../protocol/index.js";

/** Topics of audit trail entries. Each topic has its own limit, so that entries from restarts don't evict changes. */
export const auditTopics = ["configuration", "membership", "order"] as const;
/** Topic of an audit trail entry. */
export type AuditTopic = (typeof auditTopics)[number];

/** Schema of one audit trail entry. */
export const auditEntrySchema = z.object({
    /** Log index of the command. */
    index: z.int(),
    topic: z.enum(auditTopics),
    /** Wall clock time of the proposer's host, in milliseconds since 1970. */
    at: z.int(),
    /** The operator or daemon that caused the command. */
    who: z.string(),
    /** The action; `subject` is what it applied to. */
    action: z.string(),
    subject: z.string(),
    /** For a configuration change, the revision it is based on; otherwise the revision in force when the command was applied. */
    revision: z.int(),
    outcome: z.string(),
    note: z.string().optional(),
});

/** One audit trail entry. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;
/** Selects up to `limit` entries with an index below `before`, newest first. */
export type AuditQuery = {
    readonly before?: number;
    readonly topic?: AuditTopic;
    readonly limit: number;
};

/** Maximum number of entries kept per topic; `append` lets a topic exceed it by a tenth before it trims. */
export const auditEntryLimit = 5_000;

/** Bounded record of who did what, when, against which revision, and with what outcome. */
export class AuditTrail {
    private readonly entries: Record<AuditTopic, AuditEntry[]> = { configuration: [], membership: [], order: [] };

    static create(entries: readonly AuditEntry[] = []): AuditTrail {
        const trail = new AuditTrail();
        for (const entry of entries) {
            trail.append(entry);
        }
        return trail;
    }

    /** Appends an entry and evicts the oldest entries of its topic when there are too many. */
    append(entry: AuditEntry): void {
        const entries = this.entries[entry.topic];
        entries.push(entry);
        // Trims in batches: removing one entry from the front would copy the whole list for each command.
        if (entries.length > auditEntryLimit + auditEntryLimit / 10) {
            entries.splice(0, entries.length - auditEntryLimit);
        }
    }

    /** All entries, grouped by topic, oldest first. */
    list(): readonly AuditEntry[] {
        return auditTopics.flatMap(topic => this.entries[topic]);
    }

    /** Entries that match the query, newest first. */
    page(query: AuditQuery): readonly AuditEntry[] {
        const before = query.before ?? Number.POSITIVE_INFINITY;
        const topics = query.topic === undefined ? auditTopics : [query.topic];
        return topics
            .flatMap(topic => this.entries[topic].filter(entry => entry.index < before).slice(-query.limit))
            .sort((one, other) => other.index - one.index)
            .slice(0, query.limit);
    }
}

/** The audit entry for an applied command, or undefined if the command isn't audited. */
export function auditEntry(
    index: number,
    command: Command,
    result: CommandResult,
    revision: number,
): AuditEntry | undefined {
    const description = descriptionOf(command, revision);
    return description === undefined
        ? undefined
        : { index, at: command.at, outcome: outcomeOf(command, result), ...description };
}

type Description = Omit<AuditEntry, "index" | "at" | "outcome">;

function descriptionOf(command: Command, revision: number): Description | undefined {
    const membership = { topic: "membership", action: command.kind, revision } as const;
    switch (command.kind) {
        case "changeConfiguration": {
            const { changeId, operator, base, note } = command.change;
            return {
                topic: "configuration",
                action: command.kind,
                who: operator,
                subject: changeId,
                revision: base,
                note: note === "" ? undefined : note,
            };
        }
        case "openSession":
            return { ...membership, who: command.session.daemon, subject: command.session.incarnation };
        case "closeSession":
            return {
                ...membership,
                who: command.session.daemon,
                subject: command.session.incarnation,
                note: command.reason,
            };
        case "grantLease":
        case "releaseLease":
            return { ...membership, who: command.holder.daemon, subject: command.lease };
        case "announceBackend": {
            const { id, incarnation, role, pool } = command.announcement;
            return { ...membership, who: id, subject: `${id}/${incarnation}`, note: `${role} of ${pool}` };
        }
        case "markBackend":
            return {
                ...membership,
                who: command.by,
                subject: `${command.id}/${command.incarnation}`,
                note: command.mark,
            };
        case "drainBackend":
            return {
                ...membership,
                who: `fence ${command.fence}`,
                subject: `${command.id}/${command.incarnation}`,
                note: command.draining ? "draining" : "ready",
            };
        case "moveTraffic":
            return {
                ...membership,
                who: `fence ${command.fence}`,
                subject: command.pool,
                note: `new attempts run ${command.model}@${command.version}`,
            };
        case "recordOrder": {
            const { by, action, backend, incarnation, fence } = command.order;
            return {
                topic: "order",
                action,
                who: by,
                subject: `${backend}/${incarnation}`,
                revision,
                note: `fence ${fence}`,
            };
        }
        default:
            return undefined;
    }
}

function outcomeOf(command: Command, result: CommandResult): string {
    if (command.kind === "recordOrder") {
        return command.order.outcome;
    }
    switch (result.kind) {
        case "accepted":
            return `accepted as revision ${result.revision}`;
        case "conflict":
            return `conflict with revision ${result.revision} by ${result.winner.operator} (${result.winner.changeId})`;
        case "granted":
            return `granted with fence ${result.fence}`;
        case "held":
            return `held by ${result.holder.daemon}`;
        case "stale":
            return `stale: ${result.reason}`;
        default:
            return result.kind;
    }
}
