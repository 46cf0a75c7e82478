import { LRUCache } from "lru-cache";
import { type BegunAnswer, maxRecordedAnswers } from "../../protocol/index.js";

/** Limit of parts with remembered answers, which take 4 MB: every prompt may have parts of its own. */
const maxParts = 2_048;
/** How long a begun answer speaks for a part: engines may get a new software version at any time. */
const retentionMilliseconds = 60_000;

type BegunAt = { readonly attempt: string; readonly at: number; };

/** The answers that were begun for this daemon's callers, by part of their prompts. Others hear of them once a part is suspected. */
export class BegunAnswers {
    private readonly answers = new LRUCache<string, BegunAt[]>({ max: maxParts });

    static create(): BegunAnswers {
        return new BegunAnswers();
    }

    record(parts: readonly string[], attempt: string, now: number): void {
        for (const part of parts) {
            const answers = this.answers.get(part) ?? [];
            answers.push({ attempt, at: now });
            if (answers.length > maxRecordedAnswers) {
                answers.shift();
            }
            this.answers.set(part, answers);
        }
    }

    /** The newest answers that were begun on a part. */
    recent(part: string, now: number): readonly BegunAnswer[] {
        return (this.answers.peek(part) ?? [])
            .map(({ attempt, at }) => ({ attempt, age: now - at }))
            .filter(({ age }) => age < retentionMilliseconds);
    }
}
