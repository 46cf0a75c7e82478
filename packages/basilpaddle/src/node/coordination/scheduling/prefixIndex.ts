import { LRUCache } from "lru-cache";
import type { LoadReport } from "../../protocol/index.js";

/** Maximum number of prefix blocks tracked for one engine. */
const maxBlocksPerEngine = 8_192;
/** Factor applied to the trust in a tracked cache when some of its events were lost. */
const gapTrustFactor = 0.5;
/** Weight of one reuse report in the moving average of the trust. */
const trustWeight = 0.2;

type TrackedCache = {
    readonly blocks: LRUCache<string, true>;
    nextSequence: number | undefined;
    /** Moving average, from 0 to 1, of the ratio of reported to expected reuse. */
    trust: number;
};

/**
 * Estimates which prefix blocks each prefill engine has cached, from delayed and lossy cache events and from the
 * prompts sent there.
 */
export class PrefixIndex {
    private readonly caches = new Map<string, TrackedCache>();

    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Number of leading blocks of the prompt that the engine is likely to have cached. */
    matchedBlocks(engine: string, prefixes: readonly string[]): number {
        const cache = this.caches.get(engine);
        if (cache === undefined || prefixes.length === 0 || !cache.blocks.has(prefixes[0]!)) {
            return 0;
        }
        // A block is usable only together with all blocks before it, so the usable part is a prefix, found by binary
        // search.
        let cached = 1;
        let missing = prefixes.length + 1;
        while (missing - cached > 1) {
            const middle = (cached + missing) >> 1;
            if (cache.blocks.has(prefixes[middle - 1]!)) {
                cached = middle;
            }
            else {
                missing = middle;
            }
        }
        return cached;
    }

    /** Number of prompt tokens that the engine is expected to find in its cache. */
    reusableTokens(engine: string, prefixes: readonly string[], blockTokens: number): number {
        const trust = this.caches.get(engine)?.trust ?? 0;
        return Math.floor(this.matchedBlocks(engine, prefixes) * blockTokens * trust);
    }

    /** Adds the blocks of a prompt sent to the engine, before its cache events arrive. */
    recordDispatch(engine: string, prefixes: readonly string[]): void {
        const cache = this.trackedCache(engine);
        for (const prefix of prefixes) {
            cache.blocks.set(prefix, true);
        }
    }

    /** Applies the cache events of a load report. */
    applyEvents(engine: string, events: NonNullable<LoadReport["cache"]>): void {
        const cache = this.trackedCache(engine);
        // Lost events are most likely evictions of blocks that still count as cached; each makes a prefill slower than
        // expected.
        if (cache.nextSequence !== undefined && events.firstSequence > cache.nextSequence) {
            cache.trust *= gapTrustFactor;
        }
        cache.nextSequence = events.firstSequence + events.events.length;
        for (const event of events.events) {
            switch (event.kind) {
                case "stored":
                    cache.blocks.set(event.prefix, true);
                    break;
                case "evicted":
                    cache.blocks.delete(event.prefix);
                    break;
                case "cleared":
                    cache.blocks.clear();
                    break;
            }
        }
    }

    /** Updates the trust with the ratio of reused to expected tokens that an engine reported. */
    recordReuse(engine: string, expectedTokens: number, reusedTokens: number): void {
        if (expectedTokens > 0) {
            const cache = this.trackedCache(engine);
            const reuseRatio = Math.min(1, reusedTokens / expectedTokens);
            cache.trust += trustWeight * (reuseRatio - cache.trust);
        }
    }

    /** Removes the cache of an engine that restarted or was removed from the view. */
    removeEngine(engine: string): void {
        this.caches.delete(engine);
    }

    private trackedCache(engine: string): TrackedCache {
        const existingCache = this.caches.get(engine);
        if (existingCache !== undefined) {
            return existingCache;
        }
        const created: TrackedCache = {
            blocks: new LRUCache({ max: maxBlocksPerEngine }),
            nextSequence: undefined,
            trust: 1,
        };
        this.caches.set(engine, created);
        return created;
    }
}
