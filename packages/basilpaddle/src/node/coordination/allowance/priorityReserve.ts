import { rankCount } from "../../protocol/index.js";
import type { TokenBucket } from "./tokenBucket.js";

/** Fraction of the rate that the lower priorities of an organisation share even if higher ones need all of it. */
export const defaultFloor = 0.1;

/** Time constant, in seconds, with which the demand of a priority decays. */
const decaySeconds = 2;
/** A priority without requests for this long is forgotten: its demand has decayed to less than a hundredth. */
const forgetMilliseconds = 10_000;
const maxReserveFraction = 0.5;
/** A request that costs less than this fraction of the largest one leaves no reserve: refusing it would free next to nothing. */
const cheapFraction = 0.1;
/** Least fraction of the rate at which a lower priority's retries are spread, so that their times stay finite. */
const minRetryRateFraction = 0.05;
const millisecondsInSecond = 1_000;

/** The rank of a priority: 0 is the highest, and all from 9 on share the last one. */
export function rankOf(priority: number): number {
    return Math.min(priority, rankCount - 1);
}

/** How a request ends at a bucket: granted, refused because the level is within the reserve for higher priorities (also if it is empty), or for lack of units. */
export type ReserveOutcome = "granted" | "reserved" | "empty";

/** What one priority has asked for, and what it may take below its reserve. */
type RankDemand = {
    readonly rank: number;
    /** Decayed units, as of `at`. */
    units: number;
    /** Time of its last request. */
    at: number;
    /** Units of its floor as of `floorAt`; negative while overdrawn. */
    floorLevel: number;
    floorAt: number;
};

/**
 * Reserves the rest of one organisation's bucket for its higher priorities: a lower one may take only while the level is above
 * what those above it have recently asked for in the time in which the bucket refills that, and one request that may overdraw
 * the bucket. This only refuses requests that the bucket alone would grant, and none while all requests have one priority.
 */
export class PriorityReserve {
    /** Demand by rank, in ascending order. */
    private demands: RankDemand[] = [];
    /** Largest cost of a recent request, decayed, as of `largestAt`. */
    private largestCost = 0;
    private largestAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly floor: number) {}

    /** `floor`: fraction of the rate that the lower priorities share in any case. */
    static create(floor: number): PriorityReserve {
        return new PriorityReserve(floor);
    }

    /**
     * Decides on a request and learns from it, also if it is refused: a priority that gets nothing needs its reserve most. `take`
     * takes the cost from the bucket and returns false if that holds too little. Requests without a rank have no reserve.
     */
    decide(
        rank: number | undefined,
        cost: number,
        bucket: TokenBucket,
        now: number,
        take: () => boolean,
    ): ReserveOutcome {
        if (rank === undefined) {
            return take() ? "granted" : "empty";
        }
        const level = bucket.level(now);
        const reserve = this.reserve(rank, bucket, now);
        const isCheap = cost < cheapFraction * this.largest(now);
        const isReserved = !isCheap && level <= reserve * this.reservedFraction(rank, bucket, now) && reserve > 0;
        const outcome = isReserved ? "reserved" : take() ? "granted" : "empty";
        this.recordRequest(rank, cost, bucket, now);
        if (outcome === "granted") {
            this.chargeFloor(rank, cost, level > reserve, bucket, now);
        }
        return outcome;
    }

    /** Learns from a request on which something else has decided. */
    recordRequest(rank: number, cost: number, bucket: TokenBucket, now: number): void {
        this.recordUnits(rank, cost, bucket, now);
        this.largestCost = Math.max(this.largest(now), Math.min(cost, bucket.burst));
        this.largestAt = now;
    }

    /** Learns from the sum of several requests on which something else has decided; a negative number is a refund. */
    recordUnits(rank: number, units: number, bucket: TokenBucket, now: number): void {
        this.forgetOld(now);
        const known = this.demands.find(demand => demand.rank === rank);
        if (units < 0) {
            if (known !== undefined) {
                known.units = Math.max(0, known.units + units);
            }
            return;
        }
        const demand = known ?? this.add(rank, now);
        // More than the rate can't be used for long; without this bound a short excess would be reserved for much longer.
        demand.units = Math.min(bucket.rate * decaySeconds, unitsOf(demand, now) + units);
        demand.at = now;
    }

    /** Units that a request of this rank has to leave; 0 for the highest one that has sent requests. */
    reserve(rank: number, bucket: TokenBucket, now: number): number {
        const higher = this.higher(rank, now);
        if (higher.length === 0) {
            return 0;
        }
        const units = this.higherUnits(rank, bucket, now);
        const secondsToRefill = units / bucket.rate;
        const presence = Math.max(...higher.map(({ at }) => decayOf(now - at)));
        const needed = units / decaySeconds * secondsToRefill + presence * this.largest(now);
        return Math.min(bucket.burst * maxReserveFraction, needed);
    }

    /** Milliseconds until a request of this rank may take units, if only higher priorities do so meanwhile. */
    timeUntilOpen(rank: number, bucket: TokenBucket, now: number): number {
        const missing = this.reserve(rank, bucket, now) - bucket.level(now);
        if (missing <= 0) {
            return 0;
        }
        const untilLevel = missing / this.rateFor(rank, bucket, now);
        const floor = this.floorFraction(rank, now);
        const untilFloor = floor > 0
            ? (bucket.burst * floor - this.floorLevel(rank, bucket, now)) / (bucket.rate * floor)
            : Number.POSITIVE_INFINITY;
        return Math.min(untilLevel, untilFloor) * millisecondsInSecond;
    }

    /** Units per second that are left for this rank. */
    rateFor(rank: number, bucket: TokenBucket, now: number): number {
        const left = bucket.rate - this.higherUnits(rank, bucket, now) / decaySeconds;
        const least = Math.max(minRetryRateFraction, this.floorFraction(rank, now));
        return Math.max(left, least * bucket.rate);
    }

    /** Number of priorities that are remembered. */
    get size(): number {
        return this.demands.length;
    }

    /**
     * The fraction of its reserve that a rank has to leave: the fuller its floor, the less. With a full one it may take any unit
     * left, so that a grant from the floor comes at a low level only after higher priorities have had time to raise it.
     */
    private reservedFraction(rank: number, bucket: TokenBucket, now: number): number {
        const full = bucket.burst * this.floorFraction(rank, now);
        return full > 0 ? 1 - Math.max(0, this.floorLevel(rank, bucket, now)) / full : 1;
    }

    private higher(rank: number, now: number): readonly RankDemand[] {
        return this.demands.filter(demand => demand.rank < rank && now - demand.at < forgetMilliseconds);
    }

    /** Units that the ranks above this one have asked for, at most what the rate gives in the same time. */
    private higherUnits(rank: number, bucket: TokenBucket, now: number): number {
        const units = this.higher(rank, now).reduce((sum, demand) => sum + unitsOf(demand, now), 0);
        return Math.min(bucket.rate * decaySeconds, units);
    }

    private largest(now: number): number {
        return this.largestCost * decayOf(now - this.largestAt);
    }

    /** The lower ranks share the floor equally. */
    private floorFraction(rank: number, now: number): number {
        return this.higher(rank, now).length === 0 ? 0 : this.floor / Math.max(1, this.demands.length - 1);
    }

    /** Units that the rank may take below its reserve. They flow in like those of a bucket with a fraction of the rules. */
    private floorLevel(rank: number, bucket: TokenBucket, now: number): number {
        const demand = this.demands.find(known => known.rank === rank);
        if (demand === undefined) {
            return 0;
        }
        const fraction = this.floorFraction(rank, now);
        const inflow = bucket.rate * fraction * Math.max(0, now - demand.floorAt) / millisecondsInSecond;
        demand.floorLevel = Math.min(bucket.burst * fraction, demand.floorLevel + inflow);
        demand.floorAt = now;
        return demand.floorLevel;
    }

    /** Units above the reserve count too, but leave no debt: the floor is what a rank gets at least, not in addition. */
    private chargeFloor(rank: number, cost: number, isAboveReserve: boolean, bucket: TokenBucket, now: number): void {
        const level = this.floorLevel(rank, bucket, now);
        const demand = this.demands.find(known => known.rank === rank);
        if (demand !== undefined) {
            demand.floorLevel = level - (isAboveReserve ? Math.min(cost, Math.max(0, level)) : cost);
        }
    }

    private add(rank: number, now: number): RankDemand {
        const demand = { rank, units: 0, at: now, floorLevel: 0, floorAt: now };
        this.demands = [...this.demands, demand].sort((one, other) => one.rank - other.rank);
        return demand;
    }

    private forgetOld(now: number): void {
        if (this.demands.some(({ at }) => now - at >= forgetMilliseconds)) {
            this.demands = this.demands.filter(({ at }) => now - at < forgetMilliseconds);
        }
    }
}

function unitsOf({ units, at }: RankDemand, now: number): number {
    return units * decayOf(now - at);
}

function decayOf(milliseconds: number): number {
    return Math.exp(-Math.max(0, milliseconds) / millisecondsInSecond / decaySeconds);
}
