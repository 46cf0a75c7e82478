/** How long the highest count is kept: two windows of the retry allowance that the gateways share. */
const retentionMilliseconds = 20_000;
/** How long after the start the reported counts may be too low, and the number of gateways assumed until then. */
const defaultSettleMilliseconds = 4_000;
const assumedGateways = 100;

/** One reached directory's count of gateways, and whether all have had time to connect to it. */
export type ReportedCount = { readonly gateways: number; readonly gatewaysSettled: boolean; };

/**
 * The number of gateways by which common limits are divided. Without a directory the last known number applies: a gateway
 * that was cut off would otherwise take the whole limit for its own, beside the shares of all others.
 */
export class GatewayCount {
    private lastKnown = 1;
    private highest = 1;
    private highestAt: number;
    private hasSettled = false;

    private constructor(private readonly startedAt: number, private readonly settleTime: number) {
        this.highestAt = startedAt;
    }

    /** `settleTime`: milliseconds after the start in which reported counts may be too low. */
    static create(startedAt: number, settleTime = defaultSettleMilliseconds): GatewayCount {
        return new GatewayCount(startedAt, settleTime);
    }

    /** The current number, by the counts of the directories that are reached now. */
    current(reported: readonly ReportedCount[]): number {
        if (reported.length > 0) {
            this.lastKnown = Math.max(1, ...reported.map(({ gateways }) => gateways));
        }
        return this.lastKnown;
    }

    /**
     * The highest recent number. A directory that has just started counts only the gateways that have reconnected so far; with
     * that count each gateway's share of a common limit would be many times too large.
     */
    highestRecent(reported: readonly ReportedCount[], now: number): number {
        const current = this.current(reported);
        const mayExpire = reported.length > 0 && now - this.highestAt > retentionMilliseconds;
        if (current >= this.highest || mayExpire) {
            this.highest = current;
            this.highestAt = now;
        }
        this.hasSettled ||= reported.some(({ gatewaysSettled }) => gatewaysSettled);
        const mayBeTooLow = reported.length === 0 || now - this.startedAt < this.settleTime;
        return !this.hasSettled && mayBeTooLow ? Math.max(this.highest, assumedGateways) : this.highest;
    }
}
