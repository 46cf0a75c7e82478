import { SeededRandomness } from "../packages/basilpaddle/src/node/utils/index.js";

/**
 * Kinds of faults injected into processes, connections, disks and backend servers, and of planned operations.
 * `deadlyRequests` sends poison requests.
 */
export const faultKinds = [
    "killGateway",
    "pauseGateway",
    "stopGateway",
    "killDirectory",
    "pauseDirectory",
    "stopDirectory",
    "wipeDirectory",
    "tearLog",
    "replaceDirectory",
    "killDirectories",
    "killAll",
    "cutDirectory",
    "cutDirectoryOneWay",
    "cutGateway",
    "splitDirectories",
    "slowLinks",
    "resetCallers",
    "resetPeers",
    "resetBackends",
    "changeSeeds",
    "crashBackend",
    "deadlyRequests",
    "darkenBackend",
    "slowBackend",
    "drainBackend",
    "lapseHandles",
    "loseAnswers",
    "changeConfiguration",
    "raceConfigurations",
    "invalidConfiguration",
] as const;

/** The kind of a fault. Those from `limitBackend` on are planned apart from the others. */
export type FaultKind =
    | typeof faultKinds[number]
    | "limitBackend"
    | "poisonPrompts"
    | "partitionGateways"
    | "leaveBackends"
    | "replaceVersion"
    | "standStill";

/** Planned operations: they must not cut off any request while no fault is active. */
export const plannedKinds: ReadonlySet<FaultKind> = new Set<FaultKind>([
    "stopGateway",
    "stopDirectory",
    "changeSeeds",
    "drainBackend",
    "changeConfiguration",
    "raceConfigurations",
    "invalidConfiguration",
    "limitBackend",
    "leaveBackends",
    "replaceVersion",
]);
/** Planned operations that a plan draws from. */
const drawnPlannedKinds = faultKinds.filter(kind => plannedKinds.has(kind));

/** One fault: its start in milliseconds after the start of the load, its duration in milliseconds, and its target. */
export type Fault = {
    readonly kind: FaultKind;
    readonly at: number;
    readonly lasts: number;
    /** From 0 to 1: selects the target among the possible ones. */
    readonly pick: number;
};

/** The size of a run's deployment and the faults injected into it; determined by the seed. */
export type SoakPlan = {
    readonly seed: number;
    readonly directories: number;
    readonly gateways: number;
    readonly engines: number;
    readonly plainServers: number;
    /** Milliseconds within which faults begin. */
    readonly length: number;
    readonly requestsPerSecond: number;
    /** Number of software versions of backend servers that serve side by side; callers resume streams if there are several. @default 1 */
    readonly versions?: number;
    /** Number of callers that keep their connection until it closes, with slow bodies and long answers. @default 0 */
    readonly keptCallers?: number;
    readonly faults: readonly Fault[];
};

/** Overrides for the size of a plan. */
export type PlanSize = {
    readonly seconds?: number;
    readonly gateways?: number;
    readonly directories?: number;
    /** Whether backend servers leave in series. @default true */
    readonly departures?: boolean;
    /** Whether they have several software versions, and callers resume streams. @default `departures` */
    readonly versions?: boolean;
    /** Callers that keep their connection until it closes. @default 0 */
    readonly keptCallers?: number;
    /** Number of standstills of gateways, half of which are stopped as well. @default 0 */
    readonly standstills?: number;
};

const defaultSeconds = 14;
const millisecondsInSecond = 1_000;
/** Bounds for the time between the starts of two faults, chosen so that some faults overlap and some don't. */
const minGapMilliseconds = 250;
const maxGapMilliseconds = 2_600;
/** Bounds for the duration of a fault: durations fall on both sides of every timeout that lies between them. */
const minDurationMilliseconds = 200;
const maxDurationMilliseconds = 5_000;
/** Probability that a fault is followed by another of the same kind, since real faults often recur within a short time. */
const seriesProbability = 0.25;
const seriesGapMilliseconds = 700;
/** Bounds for the time in which a backend server names a limit: longer than all gateways may take to learn of it. */
const minLimitMilliseconds = 6_000;
const maxLimitMilliseconds = 10_000;
/** Bounds for the time by which a heartbeat is late that a leaving server had sent before. */
const minLatenessMilliseconds = 100;
const maxLatenessMilliseconds = 4_000;
/** Bounds for a gateway's standstill: longer than the silence after which another engine is looked for, well within callers' limits. */
const minStandstillMilliseconds = 1_300;
const maxStandstillMilliseconds = 3_000;
/** Longest time from the start of a version's replacement to a fault beside it: until about when the engines of the first one are back. */
const maxReplacementFaultDelayMilliseconds = 8_000;
/** Bounds for the duration of a partition: some are too short to be noticed, others last until callers must be served again. */
const minPartitionMilliseconds = 300;
const maxPartitionMilliseconds = 6_000;
/**
 * Every fourth seed has planned operations only. While unplanned faults are active, a request that is cut off isn't a
 * violation: a shutdown that didn't wait for open requests went undetected in a run with twelve faults.
 */
const plannedOnlySeedInterval = 4;
/** Of as many seeds one has no unplanned faults but partitions of gateways, so that what callers are served can be compared. */
const partitionOnlyRemainder = 2;

/** Generates the plan of a seed. */
export function createPlan(seed: number, size: PlanSize = {}): SoakPlan {
    const random = SeededRandomness.create(seed);
    const directories = size.directories ?? random.integer(3, 5);
    const gateways = size.gateways ?? random.integer(3, 6);
    const length = (size.seconds ?? defaultSeconds) * millisecondsInSecond;
    const faults: Fault[] = [];
    const remainder = seed % plannedOnlySeedInterval;
    const kinds = remainder === 0 || remainder === partitionOnlyRemainder ? drawnPlannedKinds : faultKinds;
    let at = random.integer(minGapMilliseconds, maxGapMilliseconds);
    let kind = kinds[random.integer(0, kinds.length - 1)]!;
    while (at < length) {
        faults.push({
            kind,
            at,
            lasts: random.integer(minDurationMilliseconds, maxDurationMilliseconds),
            pick: random.fraction(),
        });
        const repeatsKind = random.fraction() < seriesProbability;
        at += repeatsKind ? seriesGapMilliseconds : random.integer(minGapMilliseconds, maxGapMilliseconds);
        kind = repeatsKind ? kind : kinds[random.integer(0, kinds.length - 1)]!;
    }
    faults.push(createLimit(seed, length));
    const hasUnplannedFaults = remainder !== 0 && remainder !== partitionOnlyRemainder;
    if (size.departures !== false) {
        faults.push(...createDepartures(seed, length, hasUnplannedFaults));
        faults.push(...(hasUnplannedFaults ? [createPoisonPrompts(seed, length)] : []));
    }
    if (seed % plannedOnlySeedInterval !== 0) {
        faults.push(...createPartitions(seed, length));
    }
    const hasVersions = size.versions ?? size.departures ?? true;
    if (hasVersions) {
        faults.push(...createReplacement(seed, length, hasUnplannedFaults));
    }
    faults.push(...createStandstills(seed, length, size.standstills ?? 0));
    faults.sort((one, other) => one.at - other.at);
    const { keptCallers = 0 } = size;
    const common = { seed, directories, gateways, plainServers: 3, length, requestsPerSecond: 30, keptCallers, faults };
    return hasVersions ? { ...common, engines: 8, versions: 2 } : { ...common, engines: 6 };
}

/**
 * Backend servers leave in series, beside a kill of the directory that receives their heartbeats and one of a gateway where a plan
 * has unplanned faults; the other faults are the same as without it.
 */
function createDepartures(seed: number, length: number, beside: boolean): Fault[] {
    const random = SeededRandomness.create(-2_000_000 - seed);
    const at = random.integer(0, Math.floor(length * 2 / 3));
    const departures: Fault = {
        kind: "leaveBackends",
        at,
        lasts: random.integer(minLatenessMilliseconds, maxLatenessMilliseconds),
        pick: random.fraction(),
    };
    const kill = (kind: FaultKind, pick: number): Fault => {
        return {
            kind,
            at: at + random.integer(100, 3_000),
            lasts: random.integer(minDurationMilliseconds, 1_500),
            pick,
        };
    };
    return beside ? [departures, kill("killDirectory", 0), kill("killGateway", random.fraction())] : [departures];
}

/** Prompts with a part that crashes engines arrive beside the other faults, which are the same as without them. */
function createPoisonPrompts(seed: number, length: number): Fault {
    const random = SeededRandomness.create(-4_000_000 - seed);
    return {
        kind: "poisonPrompts",
        at: random.integer(0, Math.floor(length / 2)),
        lasts: random.integer(minDurationMilliseconds, maxDurationMilliseconds),
        pick: random.fraction(),
    };
}

/** Gateways are partitioned from all backend servers twice beside the other faults, which are the same as without it. */
function createPartitions(seed: number, length: number): Fault[] {
    const random = SeededRandomness.create(-1_000_000 - seed);
    return [0, 1].map(half => ({
        kind: "partitionGateways",
        at: Math.floor(random.fraction() * length / 2 + half * length / 2),
        lasts: random.integer(minPartitionMilliseconds, maxPartitionMilliseconds),
        pick: random.fraction(),
    }));
}

/**
 * Engines of one version are replaced in series by engines of another and back, beside a kill, a freeze and a cut, each of a gateway or of a
 * directory, where a plan has unplanned faults; the other faults are the same as without it.
 */
function createReplacement(seed: number, length: number, beside: boolean): Fault[] {
    const random = SeededRandomness.create(-3_000_000 - seed);
    const at = random.integer(0, Math.floor(length / 2));
    const drawFault = (kind: FaultKind, delay: number, longest: number): Fault => {
        const lasts = random.integer(minDurationMilliseconds, longest);
        return { kind, at: at + delay, lasts, pick: random.fraction() };
    };
    const replacement = drawFault("replaceVersion", 0, maxDurationMilliseconds);
    const pairs = [["killGateway", "killDirectory"], ["pauseGateway", "pauseDirectory"], [
        "cutGateway",
        "cutDirectory",
    ]] as const;
    const others = pairs.map(kinds => {
        return drawFault(
            kinds[random.integer(0, 1)]!,
            random.integer(100, maxReplacementFaultDelayMilliseconds),
            2_500,
        );
    });
    return beside ? [replacement, ...others] : [replacement];
}

/** Gateways stand still, one after the other, beside the other faults, which are the same as without it. */
function createStandstills(seed: number, length: number, count: number): Fault[] {
    const random = SeededRandomness.create(-6_000_000 - seed);
    return Array.from({ length: count }, (_, index) => ({
        kind: "standStill",
        at: Math.floor((index + random.fraction()) * length / count),
        lasts: random.integer(minStandstillMilliseconds, maxStandstillMilliseconds),
        pick: random.fraction(),
    }));
}

/** One backend server names a limit beside the other faults, which are the same as without it. */
function createLimit(seed: number, length: number): Fault {
    const random = SeededRandomness.create(-1 - seed);
    return {
        kind: "limitBackend",
        at: random.integer(0, Math.floor(length / 2)),
        lasts: random.integer(minLimitMilliseconds, maxLimitMilliseconds),
        pick: random.fraction(),
    };
}
