/** Number of streams that shares are counted over. */
const countedStreams = 64;

/**
 * The share of the newest streams that were begun for this daemon's callers whose prompts hold a part. Streams that weren't begun
 * don't count: they may be a flood of those that crash engines.
 */
export class PartShares {
    private readonly streams: (readonly string[])[] = [];
    private readonly counts = new Map<string, number>();

    static create(): PartShares {
        return new PartShares();
    }

    /** Records a stream that has begun. */
    record(parts: readonly string[]): void {
        this.streams.push(parts);
        parts.forEach(part => this.counts.set(part, this.countOf(part) + 1));
        if (this.streams.length > countedStreams) {
            this.streams.shift()!.forEach(part => this.removeOne(part));
        }
    }

    /** From 0 to 1; near a half while few streams were begun. */
    shareOf(part: string): number {
        return (this.countOf(part) + 1) / (this.streams.length + 2);
    }

    private countOf(part: string): number {
        return this.counts.get(part) ?? 0;
    }

    private removeOne(part: string): void {
        const count = this.countOf(part) - 1;
        if (count > 0) {
            this.counts.set(part, count);
        }
        else {
            this.counts.delete(part);
        }
    }
}
