import * as fc from "fast-check";

const kinds = [
    "kill",
    "loseDisk",
    "reattachDisk",
    "cut",
    "isolate",
    "freeze",
    "degradedNetwork",
    "slowDisk",
    "handOver",
] as const;

/** A temporary fault. */
export type Fault = {
    readonly kind: (typeof kinds)[number];
    /** Milliseconds after the previous fault; 0 injects both at the same time. */
    readonly after: number;
    /** Duration in milliseconds. */
    readonly lasting: number;
    readonly host: number;
    /** The second host, for faults between two hosts. */
    readonly other: number;
};

const milliseconds = fc.oneof(
    fc.constant(0),
    fc.integer({ min: 1, max: 50 }),
    fc.integer({ min: 50, max: 1_500 }),
    fc.integer({ min: 1_500, max: 6_000 }),
);

/** Arbitrary for runs: the seed, the number of hosts, and the faults. */
export const runArbitrary = fc.record({
    seed: fc.integer({ min: 1, max: 0x7fff_ffff }),
    size: fc.constantFrom(3, 3, 5),
    faults: fc.array(
        fc.record({
            kind: fc.constantFrom(...kinds),
            after: milliseconds,
            lasting: milliseconds,
            host: fc.nat(4),
            other: fc.nat(4),
        }),
        { maxLength: 25 },
    ),
});

/** Parameters of one run. */
export type Run = { readonly seed: number; readonly size: number; readonly faults: readonly Fault[]; };
