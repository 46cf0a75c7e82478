import type { CrashQuery, CrashUpdate } from "../../protocol/index.js";
import type { QuarantinedRequests } from "./quarantinedRequests.js";

/** Limit of requests that wait to be sent; beyond it the oldest are dropped. */
const pendingLimit = 512;

/** How far the exchange with one peer has come, in both directions. */
type PeerProgress = { source: string; cursor: number; count: number; };

/**
 * Exchanges crash records with peers that are queried periodically. Each query carries the records that changed since the
 * peer's last reply, or all records after the peer has restarted.
 */
export class CrashExchange {
    private readonly progress = new Map<string, PeerProgress>();
    private pending: string[] = [];
    /** Number of requests that were dropped from the front of `pending`. */
    private droppedCount = 0;

    private constructor(private readonly held: QuarantinedRequests) {}

    static create(held: QuarantinedRequests): CrashExchange {
        return new CrashExchange(held);
    }

    /** Marks a request whose record changed here and has to be sent. */
    markChanged(digest: string): void {
        this.pending.push(digest);
        if (this.pending.length > pendingLimit) {
            this.pending.shift();
            this.droppedCount += 1;
        }
    }

    /** The next query to a peer, and the number of marked requests that the peer has received once it has replied. */
    question(name: string): { readonly question: CrashQuery; readonly count: number; } {
        const { source, cursor, count } = this.progressOf(name);
        const unsent = [...new Set(this.pending.slice(Math.max(0, count - this.droppedCount)))];
        return {
            question: { source, cursor, records: [...this.held.records(unsent)] },
            count: this.droppedCount + this.pending.length,
        };
    }

    /** Merges a peer's reply to a query. */
    mergeReply(name: string, count: number, news: CrashUpdate): void {
        const previous = this.progressOf(name);
        const hasRestarted = previous.source !== "" && previous.source !== news.source;
        this.progress.set(name, { source: news.source, cursor: news.cursor, count });
        this.held.merge(news.records);
        if (hasRestarted) {
            // The peer has restarted and lost all earlier records.
            this.held.all().forEach(({ digest }) => this.markChanged(digest));
        }
    }

    private progressOf(name: string): PeerProgress {
        return this.progress.get(name) ?? { source: "", cursor: 0, count: 0 };
    }
}

/** Merges the records of a query and returns those that the querying daemon lacks. */
export function answerCrashQuery(held: QuarantinedRequests, question: CrashQuery): CrashUpdate {
    held.merge(question.records);
    const cursor = question.source === held.source ? question.cursor : 0;
    return { source: held.source, cursor: held.newest(), records: [...held.since(cursor)] };
}
