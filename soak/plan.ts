import { SeededRandomness } from "../packages/basilpaddle/src/node/utils/index.js";

/** Faults that come to processes, connections, disks and backend servers from outside, and planned work. */
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

/** The kind of a fault. */
export type FaultKind = typeof faultKinds[number];

/** Planned work: no request may be cut off by it, where nothing else goes wrong. */
export const plannedKinds: ReadonlySet<FaultKind> = new Set<FaultKind>([
    "stopGateway",
    "stopDirectory",
    "changeSeeds",
    "drainBackend",
    "changeConfiguration",
    "raceConfigurations",
    "invalidConfiguration",
]);

/** One fault: when it begins, in milliseconds from the start of the load, how long it lasts, and whom it hits. */
export type Fault = {
    readonly kind: FaultKind;
    readonly at: number;
    readonly lasts: number;
    /** From 0 to 1: picks the one that is hit out of those that can be. */
    readonly pick: number;
};

/** What one run starts and what is done to it; the same seed always gives the same. */
export type SoakPlan = {
    readonly seed: number;
    readonly directories: number;
    readonly gateways: number;
    readonly engines: number;
    readonly plainServers: number;
    /** Milliseconds for which faults come. */
    readonly length: number;
    readonly requestsPerSecond: number;
    readonly faults: readonly Fault[];
};

/** Bounds of a plan that a run may be given. */
export type PlanSize = { readonly seconds?: number; readonly gateways?: number; readonly directories?: number; };

const usualSeconds = 14;
const millisecondsInSecond = 1_000;
/** Milliseconds between the beginnings of two faults, at the least and at the most: some overlap, some don't. */
const leastGap = 250;
const mostGap = 2_600;
/** Milliseconds that a fault lasts, at the least and at the most: shorter and longer than every time limit in between. */
const leastLength = 200;
const mostLength = 5_000;
/** Part of the faults that follow as a series of one kind: what came once often comes again at once. */
const seriesPart = 0.25;
const seriesGap = 700;
/**
 * Of so many seeds one brings planned work only. Beside faults that nobody planned, a request that is cut off proves
 * nothing: a shutdown that waits for no request went unnoticed in twelve faults.
 */
const plannedOnlyEvery = 4;

/** Draws a plan from its seed. */
export function createPlan(seed: number, size: PlanSize = {}): SoakPlan {
    const random = SeededRandomness.create(seed);
    const directories = size.directories ?? random.integer(3, 5);
    const gateways = size.gateways ?? random.integer(3, 6);
    const length = (size.seconds ?? usualSeconds) * millisecondsInSecond;
    const faults: Fault[] = [];
    const kinds = seed % plannedOnlyEvery === 0 ? [...plannedKinds] : faultKinds;
    let at = random.integer(leastGap, mostGap);
    let kind = kinds[random.integer(0, kinds.length - 1)]!;
    while (at < length) {
        faults.push({ kind, at, lasts: random.integer(leastLength, mostLength), pick: random.fraction() });
        const again = random.fraction() < seriesPart;
        at += again ? seriesGap : random.integer(leastGap, mostGap);
        kind = again ? kind : kinds[random.integer(0, kinds.length - 1)]!;
    }
    return { seed, directories, gateways, engines: 6, plainServers: 3, length, requestsPerSecond: 30, faults };
}
