import { type ProposalOutcome, Replica, type ReplicaStatus } from "../../../coordination/index.js";
import { type Command, isViewCommand } from "../../../protocol/index.js";
import type { StateMachine } from "../../../state/index.js";
import type { Clock } from "../../../utils/index.js";

/** A group of one replica: every command is committed and applied at once. The test sets its leadership. */
export class SoloReplica extends Replica {
    leading = true;
    /** Whether a round trip to a quorum confirms leadership. */
    confirms = true;
    private index = 0;
    private lastViewIndex = 0;
    private readonly appliedListeners = new Set<Parameters<Replica["onApplied"]>[0]>();
    private readonly leadershipListeners = new Set<(leading: boolean) => void>();

    constructor(private readonly stateMachine: StateMachine, private readonly clock: Clock) {
        super();
    }

    override propose(command: Command): Promise<ProposalOutcome> {
        if (!this.leading) {
            return Promise.resolve({ kind: "notLeader", leader: undefined });
        }
        const index = ++this.index;
        this.lastViewIndex = isViewCommand(command) ? index : this.lastViewIndex;
        const result = this.stateMachine.apply(index, command);
        this.appliedListeners.forEach(listener => listener(index, command, result));
        return Promise.resolve({ kind: "result", index, result });
    }

    override receive(): void {}

    override currentStatus(): ReplicaStatus {
        return {
            identity: "solo#1",
            voting: true,
            voters: ["solo#1"],
            learners: [],
            term: 1,
            leader: this.leading ? "solo" : undefined,
            leading: this.leading,
            leadingSince: this.leading ? this.clock.monotonic() - 1_000_000 : undefined,
            lastIndex: this.index,
            committedIndex: this.index,
            committedTerm: 1,
            appendedView: this.lastViewIndex,
        };
    }

    override confirmLeadership(): Promise<boolean> {
        return Promise.resolve(this.leading && this.confirms);
    }

    override onApplied(listener: Parameters<Replica["onApplied"]>[0]): () => void {
        this.appliedListeners.add(listener);
        return () => this.appliedListeners.delete(listener);
    }

    override onLeadership(listener: (leading: boolean) => void): () => void {
        this.leadershipListeners.add(listener);
        return () => this.leadershipListeners.delete(listener);
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }

    /** Loses leadership and regains it at once, as after winning an election. */
    changeLeadership(): void {
        for (const leading of [false, true]) {
            this.leading = leading;
            this.leadershipListeners.forEach(listener => listener(leading));
        }
    }
}
