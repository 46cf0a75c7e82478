import type { Announced, LinkStalls } from "../../protocol/index.js";

/** Milliseconds in which what was seen of a link counts half. */
const memoryHalfLife = 8_000;
/**
 * Events that every link is taken to have passed on without a stall: with them a single stall says little.
 */
const priorEvents = 100;
/**
 * Milliseconds by which a pause must be longer than usual to be a stall: a lost packet is sent again after 200 ms or so,
 * and an engine's batches, filled up or with prompts between, differ by less.
 */
const stallMargin = 120;
const usualPauseFactor = 1.5;
/** Weight of one pause in a run's usual pause. */
const pauseStep = 0.2;
/** Rates below this are as good as none, and stay out of demands. */
const leastRate = 0.001;

/** A count in which what is past counts less and less. */
class FadingCount {
    private value = 0;
    private at = 0;

    add(now: number): void {
        this.value = this.current(now) + 1;
        this.at = now;
    }

    current(now: number): number {
        return this.value * 0.5 ** ((now - this.at) / memoryHalfLife);
    }
}

/** What one engine's streams showed. */
class EngineRecord {
    readonly events = new FadingCount();
    readonly stalls = new FadingCount();

    constructor(readonly failureDomain: string) {}
}

/** Tells stalls among the pauses of one run's stream, by its own usual pause. */
export class PauseWatch {
    private lastAt: number | undefined;
    private usual: number | undefined;
    private longestSeen = 0;

    static create(): PauseWatch {
        return new PauseWatch();
    }

    /** Notes an event; tells whether it came late. */
    event(now: number): boolean {
        const pause = this.lastAt === undefined ? undefined : now - this.lastAt;
        this.lastAt = now;
        if (pause === undefined) {
            return false;
        }
        this.longestSeen = Math.max(this.longestSeen, pause);
        const stalled = this.usual !== undefined && pause > usualPauseFactor * this.usual + stallMargin;
        if (!stalled) {
            this.usual = this.usual === undefined ? pause : this.usual + pauseStep * (pause - this.usual);
        }
        return stalled;
    }

    /** The longest pause in milliseconds. */
    longest(): number {
        return this.longestSeen;
    }
}

/**
 * How well this gateway's links to the other failure domains pass streams on, learned from the pauses in these.
 *
 * The load that it answers: the links of one failure domain lose a few packets in a hundred. Each lost one holds up an
 * event by 200 ms, so that hardly a stream of seventy events that crosses the link is in time, while engines beside the
 * gateway serve all of theirs. Nobody tells of it, and health checks and connections are sound. A fixed preference for
 * near engines would cost where links are sound and a domain's own engines are full or gone; so near engines are
 * preferred as far as stalls were seen, and for as long.
 */
export class LinkQuality {
    private readonly engines = new Map<string, EngineRecord>();

    static create(): LinkQuality {
        return new LinkQuality();
    }

    /** Notes an event of an engine's stream, and whether it stalled. */
    event(engine: Announced, stalled: boolean, now: number): void {
        let record = this.engines.get(engine.id);
        if (record === undefined) {
            record = new EngineRecord(engine.failureDomain);
            this.engines.set(engine.id, record);
        }
        record.events.add(now);
        if (stalled) {
            record.stalls.add(now);
        }
    }

    /**
     * The part of the events that stall on the way from each failure domain, beyond what stalls from the best one: what
     * engines do themselves shows in every domain alike. Those without stalls are left out.
     */
    stalls(now: number): LinkStalls {
        this.forget(now);
        const rates = [...this.byDomain()].map(([failureDomain, records]) => {
            return { failureDomain, rate: stallRate(records, now) };
        });
        const least = Math.min(...rates.map(({ rate }) => rate));
        return rates
            .map(({ failureDomain, rate }) => ({ failureDomain, rate: rate - least }))
            .filter(({ rate }) => rate >= leastRate);
    }

    /** Forgets engines that haven't been heard for long. */
    private forget(now: number): void {
        this.engines.forEach((record, id) => {
            if (record.events.current(now) < leastRate) {
                this.engines.delete(id);
            }
        });
    }

    private byDomain(): ReadonlyMap<string, readonly EngineRecord[]> {
        const domains = new Map<string, EngineRecord[]>();
        this.engines.forEach(record => {
            const records = domains.get(record.failureDomain) ?? [];
            records.push(record);
            domains.set(record.failureDomain, records);
        });
        return domains;
    }
}

/**
 * Leaves the worst engine out: one that falls silent, turns slow or puts its runs off says nothing of the link, and its
 * whole failure domain would lose work for it. Of a domain with a single engine nothing is known then.
 */
function stallRate(records: readonly EngineRecord[], now: number): number {
    const stalls = records.map(record => record.stalls.current(now));
    const events = records.reduce((sum, record) => sum + record.events.current(now), 0);
    const counted = stalls.reduce((sum, count) => sum + count, 0) - Math.max(...stalls);
    return counted / (priorEvents + events);
}

/** The rate of one failure domain. */
export function stallRateOf(stalls: LinkStalls | undefined, failureDomain: string): number {
    return stalls?.find(one => one.failureDomain === failureDomain)?.rate ?? 0;
}
