import { createHash } from "node:crypto";
import type { LogRecord } from "../../packages/basilpaddle/src/node/coordination/agreement/effect.js";
import type { Entry, Snapshot } from "../../packages/basilpaddle/src/node/coordination/agreement/entry.js";
import type { Message } from "../../packages/basilpaddle/src/node/coordination/agreement/message.js";

/** The state that a replica's disk would contain after a power failure. */
export type DurableState = { records: LogRecord[]; snapshot: Snapshot | undefined; };

/** Observes all replicas of a run and checks the invariants that hold between them. */
export class InvariantChecker {
    private readonly committed = new Map<number, string>();
    private readonly digests = new Map<number, string>();
    private readonly leaders = new Map<number, { readonly identity: string; readonly since: number; }>();
    private readonly votes = new Map<string, string>();
    highestApplied = 0;

    static create(): InvariantChecker {
        return new InvariantChecker();
    }

    /** Checks that replicas apply entries in order and the same entry at each index: else a committed one was lost or changed. */
    applied(entry: Entry, previousIndex: number): void {
        assertInvariant(
            entry.index === previousIndex + 1,
            `entry ${entry.index} was applied after entry ${previousIndex}`,
        );
        const content = `${entry.term} ${entry.kind} ${Buffer.from(entry.data).toString("hex")}`;
        const expectedContent = this.committed.get(entry.index) ?? content;
        assertInvariant(
            expectedContent === content,
            `entry ${entry.index} was applied as ${content}, but before as ${expectedContent}`,
        );
        this.committed.set(entry.index, content);
        this.highestApplied = Math.max(this.highestApplied, entry.index);
    }

    /** Checks that all state machines have the same digest after an index, also when restored from a snapshot. */
    digest(index: number, digest: string): void {
        assertInvariant((this.digests.get(index) ?? digest) === digest, `state machines differ after entry ${index}`);
        this.digests.set(index, digest);
    }

    becameLeader(identity: string, term: number, now: number): void {
        const other = this.leaders.get(term)?.identity ?? identity;
        assertInvariant(other === identity, `${identity} and ${other} lead in term ${term}`);
        this.leaders.set(term, { identity, since: now });
    }

    /** Checks that no leader of a later term existed when the confirmed leader asked for the confirmation. */
    confirmed(term: number, askedAt: number): void {
        for (const [later, { identity, since }] of this.leaders) {
            assertInvariant(
                later <= term || since > askedAt,
                `term ${term} was confirmed while ${identity} led in ${later}`,
            );
        }
    }

    /** Checks that acknowledgements and votes are on disk before they are sent, so that a power failure can't undo them. */
    sent(identity: string, to: string, message: Message, durable: DurableState): void {
        if (message.kind === "appended") {
            assertInvariant(
                lastDurable(durable) >= message.matched,
                `${identity} acknowledges entry ${message.matched} before it is synced`,
            );
        }
        const vote = message.kind === "voteAnswer" && message.granted && !message.trial;
        const candidacy = message.kind === "requestVote" && !message.trial;
        if (vote || candidacy) {
            this.checkVote(identity, message.term, vote ? to : identity, durable);
        }
    }

    private checkVote(identity: string, term: number, choice: string, durable: DurableState): void {
        const ballot = durable.records.findLast(record => record.kind === "ballot");
        const synced = ballot !== undefined
            && (ballot.term > term || (ballot.term === term && ballot.vote === choice));
        assertInvariant(synced, `${identity} votes in term ${term} before the vote is synced`);
        const key = `${identity} ${term}`;
        const other = this.votes.get(key) ?? choice;
        assertInvariant(other === choice, `${identity} votes for ${other} and ${choice} in term ${term}`);
        this.votes.set(key, choice);
    }
}

/** Digest of a state machine, from its previous digest and the applied entry. */
export function nextDigest(digest: string, entry: Entry): string {
    return createHash("sha256").update(digest).update(entry.data).digest("hex");
}

/** Throws unless the condition holds. */
export function assertInvariant(condition: boolean, violation: string): void {
    if (!condition) {
        throw new Error(`Invariant violated: ${violation}.`);
    }
}

function lastDurable({ records, snapshot }: DurableState): number {
    let last = snapshot?.description.index ?? 0;
    for (const record of records) {
        if (record.kind === "entry") {
            last = Math.max(snapshot?.description.index ?? 0, record.entry.index);
        }
    }
    return last;
}
