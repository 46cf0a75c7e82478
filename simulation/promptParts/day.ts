/** Engines that crash of another cause. */
export type OtherCrashes = "none" | "single" | "third" | "rolling" | "all";

/** A day of streams whose prompts share parts. Times in milliseconds. */
export type PartDay = {
    readonly gateways: number;
    readonly engines: number;
    readonly harmlessPerSecond: number;
    /** Requests per second with a part that crashes engines; each is like no other one. */
    readonly poisonPerSecond: number;
    /** Number of such parts. */
    readonly poisonParts: number;
    /** Fraction of the poison runs that crash their engine. */
    readonly crashRate: number;
    /** Events of a poison run before the crash, 50 ms apart. */
    readonly eventsBefore: number;
    /** Whether the poison part is the first one of its prompts. */
    readonly poisonFirst: boolean;
    /** Number of first parts that prompts share, and of the parts that sessions repeat. */
    readonly firstParts: number;
    readonly sessions: number;
    readonly attempts: number;
    readonly otherCrashes: OtherCrashes;
};

/** When poison requests begin and end, and the end of the day. */
export const poisonFrom = 10_000;
export const poisonUntil = 26_000;
export const dayLength = 40_000;

const usual: PartDay = {
    gateways: 8,
    engines: 14,
    harmlessPerSecond: 40,
    poisonPerSecond: 10,
    poisonParts: 1,
    crashRate: 1,
    eventsBefore: 0,
    poisonFirst: false,
    firstParts: 3,
    sessions: 40,
    attempts: 2,
    otherCrashes: "none",
};

/** The days that ways are compared on. */
export const partDays: Readonly<Record<string, PartDay>> = {
    usual,
    slow: { ...usual, poisonPerSecond: 1.5 },
    poisonFirst: { ...usual, poisonFirst: true },
    twoParts: { ...usual, poisonParts: 2 },
    sometimes: { ...usual, crashRate: 0.6 },
    afterTwoEvents: { ...usual, eventsBefore: 2 },
    oneFirstPart: { ...usual, firstParts: 1 },
    besideOthers: { ...usual, otherCrashes: "single" },
    hundredGateways: { ...usual, gateways: 100, engines: 140, harmlessPerSecond: 400 },
    noneSingle: { ...usual, poisonPerSecond: 0, otherCrashes: "single" },
    noneThird: { ...usual, poisonPerSecond: 0, otherCrashes: "third" },
    noneRolling: { ...usual, poisonPerSecond: 0, otherCrashes: "rolling" },
    noneAll: { ...usual, poisonPerSecond: 0, otherCrashes: "all", firstParts: 1 },
};
