import type { CommittedChange, InForceStatus, ProposalOutcome } from "../../coordination/index.js";
import type { Command, Finding } from "../../protocol/index.js";
import type { ControlCore } from "./core.js";
import { checkChange } from "./declarationCheck.js";

/** Result of a proposal at this control daemon. */
export type ProposalAnswer =
    | ProposalOutcome
    /** The declaration is invalid, so nothing was proposed. */
    | { readonly kind: "findings"; readonly findings: readonly Finding[]; };

/** Timeout of a proposal, and of a confirmation of leadership, in election timeouts. */
const electionTimeoutsPerProposal = 4;

/** Proposes commands; a change of the configuration is answered only when it is in force everywhere. */
export class Proposals {
    private readonly waitingChecks = new Set<() => void>();

    private constructor(private readonly core: ControlCore) {}

    static create(core: ControlCore): Proposals {
        return new Proposals(core);
    }

    /** Proposes a command if this control daemon leads. */
    async propose(command: Command): Promise<ProposalAnswer> {
        const findings = command.kind === "changeConfiguration" ? checkChange(command.change) : [];
        if (findings.length > 0) {
            return { kind: "findings", findings };
        }
        const proposal = await this.core.replica.propose(command, this.timeoutMilliseconds());
        if (proposal.kind !== "result" || proposal.result.kind !== "accepted") {
            return proposal;
        }
        return this.acceptedOnceInForce(proposal);
    }

    /** Checks again whether the waiting changes are in force; called after a heartbeat or a change of leadership. */
    recheckWaiting(): void {
        for (const check of [...this.waitingChecks]) {
            check();
        }
    }

    /**
     * A leader that was replaced while waiting must not answer `accepted`: it doesn't know which sessions its successor
     * opened, and the daemons of these sessions may not have applied the change. Therefore leadership is confirmed after the
     * wait by a round trip to a quorum.
     */
    private async acceptedOnceInForce(
        acceptedProposal: Extract<ProposalOutcome, { kind: "result"; }>,
    ): Promise<ProposalOutcome> {
        const change = { index: acceptedProposal.index, committedAt: this.core.clock.monotonic() };
        const inForce = await this.untilInForce(change);
        if (inForce && await this.core.replica.confirmLeadership(this.timeoutMilliseconds())) {
            return acceptedProposal;
        }
        return { kind: "undecided", reason: "leadership ended before the change was known to be in force" };
    }

    private untilInForce(change: CommittedChange): Promise<boolean> {
        return new Promise(resolve => {
            let cancelTimer: (() => void) | undefined;
            const settle = (inForce: boolean): void => {
                cancelTimer?.();
                this.waitingChecks.delete(check);
                resolve(inForce);
            };
            const check = (): void => {
                const status = this.status(change);
                if (status?.kind !== "waiting") {
                    settle(status !== undefined);
                    return;
                }
                cancelTimer?.();
                const remaining = Math.ceil(status.until - this.core.clock.monotonic());
                cancelTimer = this.core.clock.after(Math.max(1, remaining), check);
            };
            this.waitingChecks.add(check);
            check();
        });
    }

    /** Status of the change; undefined if this control daemon doesn't lead. */
    private status(change: CommittedChange): InForceStatus | undefined {
        const { replica, inForce, ledger, livenessTable, clock } = this.core;
        const { leadingSince } = replica.currentStatus();
        return leadingSince === undefined
            ? undefined
            : inForce.status(change, leadingSince, ledger.view(), livenessTable, clock.monotonic());
    }

    private timeoutMilliseconds(): number {
        return electionTimeoutsPerProposal * this.core.timing.electionTimeout;
    }
}
