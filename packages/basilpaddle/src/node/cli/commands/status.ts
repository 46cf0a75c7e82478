import type { DaemonStatus, DeploymentStatus } from "../../daemon/operators/index.js";
import type { Pool } from "../../protocol/index.js";
import type { ExitCode } from "../exitCode.js";
import { type OperatorArguments, showAnswer, withClient } from "../operatorCommand.js";
import { table } from "../output.js";

/** Shows daemons, leases, pools and backend servers, and which revision is in force where. */
export function run(args: OperatorArguments): Promise<ExitCode> {
    return withClient(
        args,
        async context =>
            showAnswer(context, "status", await context.client.read("status"), ({ status, daemon }) => [
                ...daemonLines(daemon),
                ...controlLines(status),
                ...sessionLines(status),
                ...leaseLines(status),
                ...poolLines(status),
                ...backendLines(status),
            ]),
    );
}

function daemonLines(daemon: DaemonStatus | undefined): string[] {
    if (daemon === undefined) {
        return [];
    }
    const ready = daemon.ready ? "ready" : `not ready: ${daemon.reason ?? "starting"}`;
    return [`queried: ${daemon.name} (${daemon.role}, ${daemon.failureDomain}), ${ready}, revision ${daemon.revision}`];
}

function controlLines(status: DeploymentStatus): string[] {
    return [
        `control: leader ${status.leader ?? "none"}, term ${status.term}, answered by ${status.answeredBy}`
        + (status.leading ? "" : " (which isn't the leader: this may be outdated)"),
        `  voters ${status.voters.join(", ")}`
        + (status.learners.length > 0 ? `; learners ${status.learners.join(", ")}` : ""),
        `configuration: revision ${status.revision}, `
        + (status.inForceEverywhere
            ? "in force everywhere"
            : `waiting for ${status.waitingFor.join(", ") || "a leader"}`),
    ];
}

function sessionLines({ sessions }: DeploymentStatus): string[] {
    return [
        "",
        "entry daemons",
        ...table(
            ["name", "failure domain", "revision", "last heartbeat", "incarnation"],
            sessions.map(session => [
                session.daemon,
                session.failureDomain,
                session.revision ?? "?",
                session.silence === undefined ? "?" : `${Math.round(session.silence)} ms ago`,
                session.incarnation,
            ]),
        ),
    ];
}

function leaseLines({ view }: DeploymentStatus): string[] {
    return [
        "",
        "leases",
        ...table(
            ["lease", "holder", "fencing number"],
            Object.entries(view.leases).map(([name, lease]) => [name, lease.holder.daemon, lease.fence]),
        ),
    ];
}

function poolLines({ view }: DeploymentStatus): string[] {
    const pools = Object.entries(view.configuration.declaration.pools);
    return [
        "",
        "pools",
        ...table(
            ["pool", "models", "prefill", "decode"],
            pools.map(([name, pool]) => [
                name,
                pool.models.map(model => `${model.name}@${model.version}`).join(", "),
                formatCopies(view, name, pool, "prefill"),
                formatCopies(view, name, pool, "decode"),
            ]),
        ),
    ];
}

function formatCopies(view: DeploymentStatus["view"], name: string, pool: Pool, role: "prefill" | "decode"): string {
    const ready = Object.values(view.backends).filter(({ announcement, state }) =>
        announcement.pool === name && announcement.role === role && state === "ready"
    );
    return `${ready.length} of ${pool.copies[role]}`;
}

function backendLines({ view }: DeploymentStatus): string[] {
    return [
        "",
        "backend servers",
        ...table(
            ["name", "state", "role", "pool", "failure domain", "models", "incarnation"],
            Object.values(view.backends).map(({ announcement, state }) => [
                announcement.id,
                state,
                announcement.role,
                announcement.pool,
                announcement.failureDomain,
                announcement.models.map(model => `${model.name}@${model.version}`).join(", "),
                announcement.incarnation,
            ]),
        ),
    ];
}
