/** Rate and size of a bucket. */
export type BucketRules = {
    /** Units per second that flow in. */
    readonly rate: number;
    /** Units that the full bucket holds. */
    readonly burst: number;
};

const millisecondsInSecond = 1_000;

/**
 * A token bucket that may be overdrawn by one request, such as one that costs more than the burst; the units missing then have
 * to flow in before the next one.
 */
export class TokenBucket {
    private constructor(private rules: BucketRules, private storedLevel: number, private updatedAt: number) {}

    /** Creates a bucket with an initial level. */
    static create(rules: BucketRules, level: number, now: number): TokenBucket {
        return new TokenBucket(rules, level, now);
    }

    /** Units per second that flow in. */
    get rate(): number {
        return this.rules.rate;
    }

    /** Units that the full bucket holds. */
    get burst(): number {
        return this.rules.burst;
    }

    /** Units in the bucket; negative while it is overdrawn. */
    level(now: number): number {
        const { rate, burst } = this.rules;
        const elapsed = Math.max(0, now - this.updatedAt);
        this.storedLevel = Math.min(burst, this.storedLevel + rate * elapsed / millisecondsInSecond);
        this.updatedAt = Math.max(this.updatedAt, now);
        return this.storedLevel;
    }

    /** Takes the cost of a request; returns false and takes nothing if too few units are left. */
    take(cost: number, now: number): boolean {
        if (this.timeUntil(cost, now) > 0) {
            return false;
        }
        this.spend(cost, now);
        return true;
    }

    /** Takes the cost of a request, however large, if any unit is left; returns false and takes nothing otherwise. */
    takeIfAnyLeft(cost: number, now: number): boolean {
        const hasAny = this.rules.burst === 0 ? this.level(now) >= 0 : this.level(now) > 0;
        if (hasAny) {
            this.spend(cost, now);
        }
        return hasAny;
    }

    /** Takes units even if too few are left; a negative number returns units. */
    spend(units: number, now: number): void {
        this.storedLevel = Math.min(this.rules.burst, this.level(now) - units);
    }

    /** Milliseconds until a request of that cost is admitted, if nothing else is taken. */
    timeUntil(cost: number, now: number): number {
        const missing = Math.min(cost, this.rules.burst) - this.level(now);
        return Math.max(0, missing / this.rules.rate * millisecondsInSecond);
    }

    /** Changes the rules. A larger burst is available at once. */
    setRules(rules: BucketRules, now: number): void {
        const added = Math.max(0, rules.burst - this.rules.burst);
        this.storedLevel = Math.min(rules.burst, this.level(now) + added);
        this.rules = rules;
    }
}
