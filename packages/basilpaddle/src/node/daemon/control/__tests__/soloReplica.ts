import { type Proposal, Replica, type ReplicaStanding } from "../../../coordination/index.js";
import { type Command, isViewCommand } from "../../../protocol/index.js";
import type { StateMachine } from "../../../state/index.js";
import type { Clock } from "../../../utils/index.js";

/** A group of one: every command is held and applied at once. Leadership is what the test says. */
export class SoloReplica extends Replica {
    leading = true;
    /** Whether a round to a quorum finds that it still leads. */
    confirms = true;
    private index = 0;
    private appended = 0;
    private readonly applied = new Set<Parameters<Replica["onApplied"]>[0]>();
    private readonly leadership = new Set<(leading: boolean) => void>();

    constructor(private readonly stateMachine: StateMachine, private readonly clock: Clock) {
        super();
    }

    override propose(command: Command): Promise<Proposal> {
        if (!this.leading) {
            return Promise.resolve({ kind: "notLeader", leader: undefined });
        }
        const index = ++this.index;
        this.appended = isViewCommand(command) ? index : this.appended;
        const result = this.stateMachine.apply(index, command);
        this.applied.forEach(listener => listener(index, command, result));
        return Promise.resolve({ kind: "result", index, result });
    }

    override receive(): void {}

    override standing(): ReplicaStanding {
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
            appendedView: this.appended,
        };
    }

    override confirmLeadership(): Promise<boolean> {
        return Promise.resolve(this.leading && this.confirms);
    }

    override onApplied(listener: Parameters<Replica["onApplied"]>[0]): () => void {
        this.applied.add(listener);
        return () => this.applied.delete(listener);
    }

    override onLeadership(listener: (leading: boolean) => void): () => void {
        this.leadership.add(listener);
        return () => this.leadership.delete(listener);
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }

    /** Loses leadership and has it again at once, as after an election that it won. */
    changeLeadership(): void {
        for (const leading of [false, true]) {
            this.leading = leading;
            this.leadership.forEach(listener => listener(leading));
        }
    }
}
