/** Parameters of the pool's scheduler; docs/measurements/decision.md lists the runs behind their defaults. */
export type SchedulerTuning = {
    /** Time in milliseconds before a prefill engine becomes free at which it may be assigned its next prompt. */
    readonly lead: number;
    /** Fraction of the prefill time saved by a cached prefix that counts in the choice of the engine; 0 ignores caches. */
    readonly affinity: number;
    /** Fraction of the time left to the first token's target that the forecast may use. */
    readonly admission: number;
    /**
     * Maximum time in milliseconds by which requests of an organisation over its share are moved back in the queue; 0
     * disables shares.
     */
    readonly mostLag: number;
};

/** Default parameters. */
export const defaultTuning: SchedulerTuning = Object.freeze({
    lead: 20,
    affinity: 1,
    admission: 0.97,
    mostLag: 4_000,
});
