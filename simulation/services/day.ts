/** A time span in milliseconds with a factor. */
type Change = { readonly from: number; readonly until: number; readonly factor: number; };

/** A day of requests to one plain service through several gateways. */
export type ServiceDay = {
    readonly gateways: number;
    /** The servers' relative processing times. */
    readonly servers: readonly number[];
    readonly slots: number;
    /** Requests that wait at one server beyond its slots. */
    readonly queue: number;
    /** Mean processing time in milliseconds; log-normally distributed. */
    readonly work: number;
    readonly workSpread: number;
    /** Requests per second. */
    readonly rate: number;
    /** Milliseconds within which a request is to be answered, from its first attempt on. */
    readonly target: number;
    /** Milliseconds in which requests arrive. */
    readonly length: number;
    readonly burst: Change;
    /** The first server takes longer. */
    readonly slowServer?: Change;
};

const lookups: ServiceDay = {
    gateways: 63,
    servers: [1, 1, 1.3],
    slots: 6,
    queue: 24,
    work: 43,
    workSpread: 0.5,
    rate: 150,
    target: 195,
    length: 14_000,
    burst: { from: 5_000, until: 9_000, factor: 1 },
};
const burstOf = (factor: number): ServiceDay => ({ ...lookups, burst: { ...lookups.burst, factor } });

/** Bundled days by name. */
export const serviceDays: Readonly<Record<string, ServiceDay>> = {
    "calm": lookups,
    "burst of 2.2": burstOf(2.2),
    "burst of 2.6": burstOf(2.6),
    "burst of 3.3": burstOf(3.3),
    "burst of 5": burstOf(5),
    "slow server": { ...lookups, slowServer: { from: 4_000, until: 9_000, factor: 4 } },
    "few gateways, burst of 3": {
        ...lookups,
        gateways: 7,
        rate: 30,
        work: 200,
        target: 600,
        burst: { ...lookups.burst, factor: 3 },
    },
};
