import { backendKey, type Supervisor } from "../../coordination/index.js";
import type { Command } from "../../protocol/index.js";
import type { ControlCore } from "./core.js";

/** Lower limit of the interval between two steps. */
const minIntervalMilliseconds = 20;
/** Number of steps within the session timeout or the backend timeout, whichever is shorter. */
const stepsPerTimeout = 20;
/** Timeout of each command of a step, in election timeouts. */
const electionTimeoutsPerProposal = 2;

/** Runs the steps of the supervisor at intervals and proposes the commands that they return. */
export class SupervisorLoop {
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly core: ControlCore, private readonly supervisor: Supervisor) {}

    static create(core: ControlCore, supervisor: Supervisor): SupervisorLoop {
        return new SupervisorLoop(core, supervisor);
    }

    /** Runs the first step at once and the next ones at intervals. */
    start(): void {
        if (this.closed) {
            return;
        }
        const { sessionTimeout, backendTimeout } = this.core.timing;
        const interval = Math.max(minIntervalMilliseconds, Math.min(sessionTimeout, backendTimeout) / stepsPerTimeout);
        void this.step().finally(() => {
            if (!this.closed) {
                this.cancelTimer = this.core.clock.after(interval, () => this.start());
            }
        });
    }

    /** Stops running steps. */
    close(): void {
        this.closed = true;
        this.cancelTimer?.();
    }

    /** Settles after the commands of the step have settled, so that the next step doesn't propose them again. */
    private async step(): Promise<void> {
        const { replica, ledger, clock } = this.core;
        const { leadingSince } = replica.currentStatus();
        const commands = this.supervisor.step({
            view: ledger.view(),
            leadingSince,
            now: clock.monotonic(),
            wall: clock.wall(),
            applied: ledger.appliedIndex(),
            hasRunsUpTo: index => ledger.hasRunsUpTo(index),
        });
        await Promise.all(commands.map(command => this.propose(command)));
    }

    private async propose(command: Command): Promise<void> {
        const { replica, logger, timing } = this.core;
        const proposal = await replica.propose(command, electionTimeoutsPerProposal * timing.electionTimeout);
        logger.info("the leader proposed a command", {
            command: command.kind,
            subject: subjectOf(command),
            proposal: proposal.kind,
        });
    }
}

function subjectOf(command: Command): string {
    switch (command.kind) {
        case "closeSession":
            return `${command.session.daemon}/${command.session.incarnation}`;
        case "markBackend":
            return backendKey(command.id, command.incarnation);
        case "grantLease":
        case "releaseLease":
            return `${command.lease} ${command.holder.daemon}`;
        default:
            return "";
    }
}
