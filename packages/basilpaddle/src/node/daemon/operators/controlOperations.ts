import type { Change, View } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { ControlDaemon, ControlStatus } from "../control/index.js";
import {
    type ControlAnswer,
    type DeploymentStatus,
    type OperatorAnswer,
    type OperatorFailure,
    type OperatorRequest,
} from "./operatorWire.js";

/** Timeout of the round trip to a quorum by which a leader confirms that it still leads. */
const leadershipTimeoutMilliseconds = 500;

/** Options of `ControlOperations`: the control daemon that carries out the requests, its name and its clock. */
export type ControlOperationsOptions = {
    readonly name: string;
    readonly daemon: Pick<ControlDaemon, "status" | "propose">;
    readonly clock: Clock;
};

/** Carries out operators' requests at this control daemon, without forwarding them. */
export class ControlOperations {
    private constructor(private readonly options: ControlOperationsOptions) {}

    static create(options: ControlOperationsOptions): ControlOperations {
        return new ControlOperations(options);
    }

    /** Answers a request; changes are answered with `notLeader` unless this control daemon leads. */
    async handle(request: OperatorRequest): Promise<ControlAnswer> {
        const isChange = request.kind === "apply" || request.kind === "drain";
        const leading = await this.confirmsLeadership();
        const { leader } = this.status().replicaStatus();
        const answer = isChange && !leading
            ? failure("notLeader", `${this.options.name} doesn't lead`)
            : await this.answer(request, leading);
        return { kind: "operator", leading, leader, answer };
    }

    // A leader whose process was suspended may not know yet that it was replaced, and would report outdated state as current.
    private async confirmsLeadership(): Promise<boolean> {
        return this.status().replicaStatus().leading
            && await this.status().confirmLeadership(leadershipTimeoutMilliseconds);
    }

    private async answer(request: OperatorRequest, leading: boolean): Promise<OperatorAnswer> {
        const status = this.status();
        switch (request.kind) {
            case "status":
                return { kind: "status", status: deploymentStatus(this.options.name, status, leading) };
            case "configuration":
                return configurationAnswer(status);
            case "history":
                return { kind: "history", entries: status.history().slice(-request.limit).reverse() };
            case "audit":
                return { kind: "audit", entries: [...status.audit(request)] };
            case "apply":
                return this.apply(request.change);
            case "drain":
                return this.drain(request.backend, request.operator);
        }
    }

    private async apply(change: Change): Promise<OperatorAnswer> {
        const command = { kind: "changeConfiguration", change, at: this.options.clock.wall() } as const;
        const proposal = await this.options.daemon.propose(command);
        switch (proposal.kind) {
            case "findings":
                return { ...failure("findings", "the configuration has findings"), findings: [...proposal.findings] };
            case "notLeader":
                return failure("notLeader", `${this.options.name} doesn't lead`);
            case "undecided":
                return failure("undecided", proposal.reason);
            case "result": {
                const { result } = proposal;
                const acceptedRevision = result.kind === "accepted" ? result.revision : Number.POSITIVE_INFINITY;
                const daemons = this.status().sessions().filter(session => (session.revision ?? 0) >= acceptedRevision);
                return { kind: "applied", result, daemons: daemons.map(({ session }) => session.daemon).sort() };
            }
        }
    }

    private async drain(id: string, operator: string): Promise<OperatorAnswer> {
        const backend = this.status().view().backends[id];
        if (backend === undefined || backend.state === "gone") {
            return failure("unknownBackend", `there is no backend server ${id} (see \`basilpaddle status\`)`);
        }
        const { incarnation } = backend.announcement;
        const proposal = await this.options.daemon.propose({
            kind: "markBackend",
            id,
            incarnation,
            mark: "leaving",
            by: operator,
            at: this.options.clock.wall(),
        });
        if (proposal.kind === "undecided") {
            return failure("undecided", proposal.reason);
        }
        if (proposal.kind !== "result") {
            return failure("notLeader", `${this.options.name} doesn't lead`);
        }
        return proposal.result.kind === "stale"
            ? failure("unknownBackend", `${id} changed before it could be drained: ${proposal.result.reason}`)
            : { kind: "drained", backend: id, incarnation };
    }

    private status(): ControlStatus {
        return this.options.daemon.status();
    }
}

function deploymentStatus(name: string, status: ControlStatus, leading: boolean): DeploymentStatus {
    const replica = status.replicaStatus();
    const { revision, inForceEverywhere, waitingFor } = status.configuration();
    return {
        answeredBy: name,
        leading,
        leader: replica.leader,
        term: replica.term,
        voters: [...replica.voters],
        learners: [...replica.learners],
        committedIndex: replica.committedIndex,
        revision,
        // Entry daemons send heartbeats to all control daemons, but only a leader knows which revision was accepted last.
        inForceEverywhere: leading && inForceEverywhere,
        waitingFor: [...waitingFor],
        sessions: status.sessions().map(({ session, failureDomain, revision, silence }) => ({
            daemon: session.daemon,
            incarnation: session.incarnation,
            failureDomain,
            revision,
            silence,
        })),
        view: status.view(),
    };
}

function configurationAnswer(status: ControlStatus): OperatorAnswer {
    const { configuration }: View = status.view();
    const { revision, changeId, operator, declaration } = configuration;
    const files = status.history().findLast(entry => entry.revision === revision)?.files ?? [];
    return { kind: "configuration", revision, changeId, operator, declaration, files };
}

function failure(code: OperatorFailure["code"], message: string): OperatorFailure {
    return { kind: "failure", code, message };
}
