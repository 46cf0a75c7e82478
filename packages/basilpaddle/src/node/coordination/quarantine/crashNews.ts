import type { CrashNews, CrashQuestion } from "../../protocol/index.js";
import type { HeldRequests } from "./heldRequests.js";

/** Requests that wait to be told; the oldest are dropped beyond that. */
const mostWaiting = 512;

/** What one daemon that answers questions has been told, and has told. */
type Told = { source: string; cursor: number; count: number; };

/**
 * Exchanges what is known of requests under which backend servers ended with daemons that are asked again and again: each gets
 * what was seen here since it last answered, and all there is after it has started anew.
 */
export class CrashExchange {
    private readonly told = new Map<string, Told>();
    private waiting: string[] = [];
    /** Requests that were noted before the oldest one that still waits. */
    private dropped = 0;

    private constructor(private readonly held: HeldRequests) {}

    static create(held: HeldRequests): CrashExchange {
        return new CrashExchange(held);
    }

    /** Notes that something was seen here of a request. */
    note(digest: string): void {
        this.waiting.push(digest);
        if (this.waiting.length > mostWaiting) {
            this.waiting.shift();
            this.dropped += 1;
        }
    }

    /** What to ask a daemon, and how many requests it will have been told of. */
    question(name: string): { readonly question: CrashQuestion; readonly count: number; } {
        const { source, cursor, count } = this.of(name);
        const untold = [...new Set(this.waiting.slice(Math.max(0, count - this.dropped)))];
        return {
            question: { source, cursor, records: [...this.held.records(untold)] },
            count: this.dropped + this.waiting.length,
        };
    }

    /** Takes a daemon's answer in. */
    answered(name: string, count: number, news: CrashNews): void {
        const told = this.of(name);
        const isNew = told.source !== "" && told.source !== news.source;
        this.told.set(name, { source: news.source, cursor: news.cursor, count });
        this.held.merge(news.records);
        if (isNew) {
            // It remembers nothing of what it was told before.
            this.held.all().forEach(({ digest }) => this.note(digest));
        }
    }

    private of(name: string): Told {
        return this.told.get(name) ?? { source: "", cursor: 0, count: 0 };
    }
}

/** Answers such a question. */
export function answerCrashes(held: HeldRequests, question: CrashQuestion): CrashNews {
    held.merge(question.records);
    const cursor = question.source === held.source ? question.cursor : 0;
    return { source: held.source, cursor: held.newest(), records: [...held.since(cursor)] };
}
