import { type LoadReport, PrefixHash, SeededRandomness } from "../../packages/basilpaddle/src/node/index.js";
import type { FakeEngineSettings } from "./settings.js";

type CacheEvent = NonNullable<LoadReport["cache"]>["events"][number];

/** The prefix cache of a fake engine. Its cache events are reported with a delay, and some of them are lost. */
export class PrefixCache {
    /** Cached prefix blocks, least recently used first. */
    private readonly blocks = new Set<string>();
    private readonly pendingEvents: { readonly sequence: number; readonly at: number; readonly event: CacheEvent; }[] =
        [];
    private nextSequence = 0;
    private readonly randomness: SeededRandomness;

    private constructor(private readonly settings: FakeEngineSettings, private readonly hash: PrefixHash) {
        this.randomness = SeededRandomness.create(settings.seed);
    }

    static async create(settings: FakeEngineSettings): Promise<PrefixCache> {
        return new PrefixCache(settings, await PrefixHash.create());
    }

    /** Returns the number of cached blocks at the start of the prompt, and caches the others. */
    reuse(prompt: string): number {
        const prefixes = this.hash.prefixes(prompt);
        const firstMissing = prefixes.findIndex(prefix => !this.blocks.has(prefix));
        const reused = firstMissing === -1 ? prefixes.length : firstMissing;
        for (const prefix of prefixes) {
            if (!this.blocks.delete(prefix)) {
                this.recordEvent({ kind: "stored", prefix });
            }
            this.blocks.add(prefix);
        }
        this.evictOldest();
        return reused;
    }

    /** Clears the cache, as a change of models or roles does. */
    clear(): void {
        this.blocks.clear();
        this.recordEvent({ kind: "cleared", prefix: "" });
    }

    /** Removes and returns the events whose delay has passed, up to the first gap in their sequence numbers. */
    takeDueEvents(now: number): LoadReport["cache"] {
        const firstNotDue = this.pendingEvents.findIndex(({ at }) => at > now);
        const dueEvents = this.pendingEvents.slice(0, firstNotDue === -1 ? undefined : firstNotDue);
        const gap = dueEvents.findIndex(({ sequence }, index) =>
            index > 0 && sequence !== dueEvents[index - 1]!.sequence + 1
        );
        const reported = this.pendingEvents.splice(0, gap === -1 ? dueEvents.length : gap);
        return reported.length === 0
            ? undefined
            : { firstSequence: reported[0]!.sequence, events: reported.map(({ event }) => event) };
    }

    private evictOldest(): void {
        for (const prefix of this.blocks) {
            if (this.blocks.size <= this.settings.cacheBlocks) {
                return;
            }
            this.blocks.delete(prefix);
            this.recordEvent({ kind: "evicted", prefix });
        }
    }

    private recordEvent(event: CacheEvent): void {
        const sequence = this.nextSequence;
        this.nextSequence += 1;
        if (this.randomness.fraction() >= this.settings.cacheEventLoss) {
            this.pendingEvents.push({ sequence, at: performance.now() + this.settings.cacheEventLag, event });
        }
    }
}
