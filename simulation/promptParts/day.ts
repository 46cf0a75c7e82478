/** Engines that crash of another cause. */
export type OtherCrashes = "none" | "single" | "third" | "rolling" | "all";

/** A day of streams whose prompts share parts. Times in milliseconds. */
export type PartDay = {
    readonly gateways: number;
    readonly engines: number;
    readonly soundPerSecond: number;
    /** Requests per second with a part that crashes engines; each is like no other one. */
    readonly markedPerSecond: number;
    /** Number of such parts. */
    readonly markedParts: number;
    /** Fraction of the marked runs that crash their engine. */
    readonly crashRate: number;
    /** Events of a marked run before the crash, 50 ms apart. */
    readonly eventsBefore: number;
    /** Whether the marked part is the first one of its prompts. */
    readonly markedFirst: boolean;
    /** Number of first parts that prompts share, and of the parts that sessions repeat. */
    readonly firstParts: number;
    readonly sessions: number;
    readonly attempts: number;
    readonly otherCrashes: OtherCrashes;
};

/** When marked requests begin and end, and the end of the day. */
export const markedFrom = 10_000;
export const markedUntil = 26_000;
export const dayLength = 40_000;

const usual: PartDay = {
    gateways: 8,
    engines: 14,
    soundPerSecond: 40,
    markedPerSecond: 10,
    markedParts: 1,
    crashRate: 1,
    eventsBefore: 0,
    markedFirst: false,
    firstParts: 3,
    sessions: 40,
    attempts: 2,
    otherCrashes: "none",
};

/** The days that ways are compared on. */
export const partDays: Readonly<Record<string, PartDay>> = {
    usual,
    slow: { ...usual, markedPerSecond: 1.5 },
    markedFirst: { ...usual, markedFirst: true },
    twoParts: { ...usual, markedParts: 2 },
    sometimes: { ...usual, crashRate: 0.6 },
    afterTwoEvents: { ...usual, eventsBefore: 2 },
    oneFirstPart: { ...usual, firstParts: 1 },
    besideOthers: { ...usual, otherCrashes: "single" },
    hundredGateways: { ...usual, gateways: 100, engines: 140, soundPerSecond: 400 },
    noneSingle: { ...usual, markedPerSecond: 0, otherCrashes: "single" },
    noneThird: { ...usual, markedPerSecond: 0, otherCrashes: "third" },
    noneRolling: { ...usual, markedPerSecond: 0, otherCrashes: "rolling" },
    noneAll: { ...usual, markedPerSecond: 0, otherCrashes: "all", firstParts: 1 },
};
