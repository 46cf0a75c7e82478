import type { CrashQuery, CrashUpdate } from "../../protocol/index.js";
import type { QuarantinedRequests } from "./quarantinedRequests.js";

/** Limit of requests that wait to be sent; beyond it the oldest are dropped. */
const maxPending = 512;

/** Progress with one peer: its latest change that was received, and the number of marked requests that it has received. */
type PeerProgress = { source: string; cursor: number; count: number; };

/**
 * Exchanges crash records with peers that are queried periodically. Each query carries the records that changed since the
 * peer's last reply, or all records after the peer has restarted.
 */
export class CrashExchange {
    private readonly progress = new Map<string, PeerProgress>();
    private pendingDigests: string[] = [];
    /** Number of requests that were dropped from the front of `pendingDigests`. */
    private droppedDigestCount = 0;

    private constructor(private readonly quarantinedRequests: QuarantinedRequests) {}

    static create(quarantinedRequests: QuarantinedRequests): CrashExchange {
        return new CrashExchange(quarantinedRequests);
    }

    /** Marks a request whose record changed here and has to be sent. */
    markChanged(digest: string): void {
        this.pendingDigests.push(digest);
        if (this.pendingDigests.length > maxPending) {
            this.pendingDigests.shift();
            this.droppedDigestCount += 1;
        }
    }

    /** The next query to a peer, and the number of marked requests that the peer has received once it has replied. */
    question(name: string): { readonly question: CrashQuery; readonly count: number; } {
        const { source, cursor, count } = this.progressOf(name);
        const unsent = [...new Set(this.pendingDigests.slice(Math.max(0, count - this.droppedDigestCount)))];
        return {
            question: { source, cursor, records: [...this.quarantinedRequests.records(unsent)] },
            count: this.droppedDigestCount + this.pendingDigests.length,
        };
    }

    /** Merges a peer's reply to a query. */
    mergeReply(name: string, count: number, reply: CrashUpdate): void {
        const previous = this.progressOf(name);
        const peerRestarted = previous.source !== "" && previous.source !== reply.source;
        this.progress.set(name, { source: reply.source, cursor: reply.cursor, count });
        this.quarantinedRequests.merge(reply.records);
        if (peerRestarted) {
            // The peer has restarted and lost all earlier records.
            this.quarantinedRequests.all().forEach(({ digest }) => this.markChanged(digest));
        }
    }

    private progressOf(name: string): PeerProgress {
        return this.progress.get(name) ?? { source: "", cursor: 0, count: 0 };
    }
}

/** Merges the records of a query and returns those that the querying daemon lacks. */
export function answerCrashQuery(records: QuarantinedRequests, query: CrashQuery): CrashUpdate {
    records.merge(query.records);
    const cursor = query.source === records.source ? query.cursor : 0;
    return { source: records.source, cursor: records.latestChange(), records: [...records.changedAfter(cursor)] };
}
