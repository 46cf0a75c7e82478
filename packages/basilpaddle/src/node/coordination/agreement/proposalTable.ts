import type { CommandResult } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { ProposalOutcome } from "../replica.js";
import type { Entry, Position } from "./entry.js";

/** The proposals that are waiting to be applied. */
export class ProposalTable {
    private readonly pending = new Map<number, (outcome: ProposalOutcome) => void>();
    private readonly positions = new Map<number, { readonly token: number; readonly term: number; }>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ProposalTable {
        return new ProposalTable(clock);
    }

    /** Registers a proposal; its promise settles after `timeout` milliseconds at the latest. */
    open(token: number, timeout: number): Promise<ProposalOutcome> {
        return new Promise(resolve => {
            const cancel = this.clock.after(timeout, () => {
                this.settle(token, { kind: "undecided", reason: `not applied within ${timeout} ms` });
            });
            this.pending.set(token, outcome => {
                cancel();
                resolve(outcome);
            });
        });
    }

    /** Records the log position of a proposal. */
    recordPosition(token: number, position: Position): void {
        this.positions.set(position.index, { token, term: position.term });
    }

    /** Settles a proposal that wasn't appended to the log. */
    refuse(token: number, leader: string | undefined): void {
        this.settle(token, { kind: "notLeader", leader });
    }

    /** Settles the proposal of an applied entry with its result. */
    settleApplied(entry: Entry, result: CommandResult): void {
        const token = this.removeToken(entry);
        if (token !== undefined) {
            this.settle(token, { kind: "result", index: entry.index, result });
        }
    }

    /** Settles a proposal as undecided if an entry without a command was applied at its index instead. */
    settleOverwritten(entry: Entry): void {
        this.removeToken(entry);
    }

    /** Settles all pending proposals as undecided. */
    abandonAll(reason: string): void {
        this.positions.clear();
        [...this.pending.keys()].forEach(token => this.settle(token, { kind: "undecided", reason }));
    }

    private removeToken(entry: Entry): number | undefined {
        const position = this.positions.get(entry.index);
        this.positions.delete(entry.index);
        if (position !== undefined && position.term !== entry.term) {
            this.settle(position.token, { kind: "undecided", reason: "overwritten by another leader's entry" });
            return undefined;
        }
        return position?.token;
    }

    private settle(token: number, outcome: ProposalOutcome): void {
        const settle = this.pending.get(token);
        this.pending.delete(token);
        settle?.(outcome);
    }
}
