import type { LinkStalls, ServerAnnouncement } from "../../protocol/index.js";

/** Half-life of the counts of events and stalls. */
const countHalfLifeMilliseconds = 8_000;
/**
 * Events without a stall that every link starts with, so that a single stall has little effect on its rate.
 */
const priorEvents = 100;
/**
 * A pause is a stall if it exceeds the run's typical pause by this factor and margin: a lost packet is retransmitted after
 * about 200 ms, while an engine's pauses vary by less when its batches fill up or include prefills.
 */
const stallMarginMilliseconds = 120;
const typicalPauseFactor = 1.5;
/** Weight of one pause in the moving average of a run's pauses. */
const pauseWeight = 0.2;
/** Rates below this are omitted from placement requests. */
const minRate = 0.001;

/** A count that decays exponentially over time. */
class DecayingCount {
    private value = 0;
    private updatedAt = 0;

    add(now: number): void {
        this.value = this.current(now) + 1;
        this.updatedAt = now;
    }

    current(now: number): number {
        return this.value * 0.5 ** ((now - this.updatedAt) / countHalfLifeMilliseconds);
    }
}

/** Events and stalls in the streams of one engine. */
class EngineStallCounts {
    readonly events = new DecayingCount();
    readonly stalls = new DecayingCount();

    constructor(readonly failureDomain: string) {}
}

/** Detects stalls in the stream of one run, by comparison with its own typical pause. */
export class StallDetector {
    private lastEventAt: number | undefined;
    private typicalPause: number | undefined;
    private longestPause = 0;

    static create(): StallDetector {
        return new StallDetector();
    }

    /** Records an event; returns whether a stall preceded it. */
    recordEvent(now: number): boolean {
        const pause = this.lastEventAt === undefined ? undefined : now - this.lastEventAt;
        this.lastEventAt = now;
        if (pause === undefined) {
            return false;
        }
        this.longestPause = Math.max(this.longestPause, pause);
        const stalled = this.typicalPause !== undefined
            && pause > typicalPauseFactor * this.typicalPause + stallMarginMilliseconds;
        if (!stalled) {
            this.typicalPause = this.typicalPause === undefined
                ? pause
                : this.typicalPause + pauseWeight * (pause - this.typicalPause);
        }
        return stalled;
    }

    /** The longest pause in milliseconds. */
    longest(): number {
        return this.longestPause;
    }
}

/**
 * Stall rates of this gateway's links to the other failure domains, measured by the pauses in the streams from there.
 *
 * It is meant for links of a failure domain that lose a few packets in a hundred. Each lost packet delays an event by
 * 200 ms, so that hardly any stream of seventy events over such a link is in time, while engines in the gateway's own
 * domain serve all of theirs in time. No component reports this: health checks pass and connections stay up. A fixed
 * preference for engines in the same domain would be costly when links are healthy and the domain's own engines are full or
 * lost; so the preference is derived from the observed stalls and ends with them.
 */
export class LinkQuality {
    private readonly countsByEngine = new Map<string, EngineStallCounts>();

    static create(): LinkQuality {
        return new LinkQuality();
    }

    /** Records an event of an engine's stream, and whether it stalled. */
    countEvent(engine: ServerAnnouncement, stalled: boolean, now: number): void {
        let counts = this.countsByEngine.get(engine.id);
        if (counts === undefined) {
            counts = new EngineStallCounts(engine.failureDomain);
            this.countsByEngine.set(engine.id, counts);
        }
        counts.events.add(now);
        if (stalled) {
            counts.stalls.add(now);
        }
    }

    /**
     * The fraction of events from each failure domain that stall, minus that of the best domain: stalls that the engines
     * themselves cause are as frequent in every domain. Domains without excess stalls are left out.
     */
    stalls(now: number): LinkStalls {
        this.dropIdleEngines(now);
        const rates = [...this.byDomain()].map(([failureDomain, allCounts]) => {
            return { failureDomain, rate: stallRate(allCounts, now) };
        });
        const lowestRate = Math.min(...rates.map(({ rate }) => rate));
        return rates
            .map(({ failureDomain, rate }) => ({ failureDomain, rate: rate - lowestRate }))
            .filter(({ rate }) => rate >= minRate);
    }

    /** Removes engines that have sent no event for a long time. */
    private dropIdleEngines(now: number): void {
        this.countsByEngine.forEach((counts, id) => {
            if (counts.events.current(now) < minRate) {
                this.countsByEngine.delete(id);
            }
        });
    }

    private byDomain(): ReadonlyMap<string, readonly EngineStallCounts[]> {
        const domains = new Map<string, EngineStallCounts[]>();
        this.countsByEngine.forEach(counts => {
            const allCounts = domains.get(counts.failureDomain) ?? [];
            allCounts.push(counts);
            domains.set(counts.failureDomain, allCounts);
        });
        return domains;
    }
}

/**
 * Excludes the stalls of the worst engine: an engine that stops sending, becomes slow or defers its runs says nothing about
 * the link, and its whole failure domain would receive less work because of it. A domain with a single engine therefore
 * has the rate 0.
 */
function stallRate(allCounts: readonly EngineStallCounts[], now: number): number {
    const stalls = allCounts.map(counts => counts.stalls.current(now));
    const events = allCounts.reduce((sum, counts) => sum + counts.events.current(now), 0);
    const stallsWithoutWorst = stalls.reduce((sum, count) => sum + count, 0) - Math.max(...stalls);
    return stallsWithoutWorst / (priorEvents + events);
}

/** The stall rate of one failure domain; 0 if it isn't listed. */
export function stallRateOf(stalls: LinkStalls | undefined, failureDomain: string): number {
    return stalls?.find(one => one.failureDomain === failureDomain)?.rate ?? 0;
}
