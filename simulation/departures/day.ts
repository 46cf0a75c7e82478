import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/**
 * How a backend server says that it leaves. `leaveFirst`: by a leave call without its start time, and it sends no heartbeats after
 * it; `leaveFirstWithStart`: the same with its start time; `draining`: by heartbeats.
 */
export const departureKinds = ["leaveFirst", "leaveFirstWithStart", "draining"] as const;
export type DepartureKind = typeof departureKinds[number];

/** A backend server leaves. Directories are given by number; times are in milliseconds. */
export type Departure = {
    readonly server: number;
    readonly kind: DepartureKind;
    readonly at: number;
    /** The directory that it calls first, which may be another one than that of its heartbeats. */
    readonly directory: number;
    /** A heartbeat that was sent before the call arrives this much later, at that directory. */
    readonly lateHeartbeat?: { readonly by: number; readonly directory: number; };
};

/** Processes are killed at the same moment and start again. */
export type Kill = {
    readonly at: number;
    readonly downFor: number;
    readonly directories: readonly number[];
    readonly gateways: readonly number[];
};

/** A directory is cut off from all other processes. */
export type Isolation = { readonly at: number; readonly lasts: number; readonly directory: number; };

/** A backend server crashes and starts again under its name; its last call, to leave, arrives late and without a start time. */
export type Restart = {
    readonly server: number;
    readonly at: number;
    readonly leaveArrivesAfter: number;
    readonly directory: number;
};

/** What happens on a day. */
export type DepartureDay = {
    readonly directories: number;
    readonly gateways: number;
    readonly servers: number;
    readonly length: number;
    readonly departures: readonly Departure[];
    readonly kills: readonly Kill[];
    readonly isolations: readonly Isolation[];
    readonly restarts: readonly Restart[];
    /** Servers whose heartbeats stop at that time, though they serve on. */
    readonly silences: readonly { readonly server: number; readonly at: number; }[];
};

/** A day on which nothing happens. */
export const calmDay: DepartureDay = {
    directories: 3,
    gateways: 3,
    servers: 3,
    length: 14_000,
    departures: [],
    kills: [],
    isolations: [],
    restarts: [],
    silences: [],
};

const randomDayMilliseconds = 40_000;
const firstDepartureMilliseconds = 5_000;
/** Longest time between two departures: some overlap, as in a release. */
const maxGapMilliseconds = 3_500;
/** Time between two cuts, and between a cut and a kill: both are losses of a directory. */
const maxCutMilliseconds = 8_000;
/** Longest time by which a heartbeat or a leave call is late. */
const maxLatenessMilliseconds = 4_000;

/** A day with servers that leave in series beside kills of directories and gateways, whole failure domains among them. */
export function randomDay(random: Randomness): DepartureDay {
    const directories = random.integer(3, 5);
    const gateways = random.integer(3, 6);
    const departures: Departure[] = [];
    const kills: Kill[] = [];
    const restarts: Restart[] = [];
    const anyDirectory = (): number => random.integer(0, directories - 1);
    let at = firstDepartureMilliseconds;
    let server = 0;
    while (at < randomDayMilliseconds - 2 * maxLatenessMilliseconds) {
        const isLate = random.fraction() < 0.4;
        if (random.fraction() < 0.2) {
            const leaveArrivesAfter = random.integer(300, maxLatenessMilliseconds);
            restarts.push({ server, at, leaveArrivesAfter, directory: anyDirectory() });
        }
        else {
            const lateHeartbeat = { by: random.integer(100, maxLatenessMilliseconds), directory: anyDirectory() };
            departures.push({
                server,
                kind: departureKinds[random.integer(0, departureKinds.length - 1)]!,
                at,
                directory: anyDirectory(),
                ...isLate ? { lateHeartbeat } : {},
            });
        }
        if (random.fraction() < 0.6) {
            kills.push(randomKill(random, at + random.integer(20, 3_000), directories, gateways));
        }
        server += 1;
        at += random.integer(300, maxGapMilliseconds);
    }
    return {
        ...calmDay,
        directories,
        gateways,
        servers: server + 3,
        length: randomDayMilliseconds,
        departures,
        kills: withoutOverlaps(kills),
        restarts,
    };
}

/** The same, and after some departures a directory is cut off, and a gateway starts at the moment at which it is back. */
export function randomDayWithCuts(random: Randomness): DepartureDay {
    const day = randomDay(random);
    const cuts = day.departures.filter(() => random.fraction() < 0.5).map(({ at }) => ({
        at: at - random.integer(0, 1_000),
        lasts: random.integer(1_500, 6_000),
        directory: random.integer(0, day.directories - 1),
    }));
    const isolations = cuts.filter((cut, number) => number === 0 || cut.at > cuts[number - 1]!.at + maxCutMilliseconds);
    const isNearCut = (kill: Kill): boolean =>
        isolations.some(({ at, lasts }) => {
            return kill.at > at - maxCutMilliseconds && kill.at < at + lasts + maxCutMilliseconds;
        });
    const starts = isolations.map(({ at, lasts }) => {
        return { at: at + lasts - 60, downFor: 60 + random.integer(0, 20), directories: [], gateways: [0] };
    });
    return { ...day, isolations, kills: [...day.kills.filter(kill => !isNearCut(kill)), ...starts] };
}

/** One directory, with gateways; a gateway; or everything. */
function randomKill(random: Randomness, at: number, directories: number, gateways: number): Kill {
    const downFor = random.integer(100, 1_500);
    const allGateways = Array.from({ length: gateways }, (_, number) => number);
    const killedGateways = allGateways.filter(() => random.fraction() < 0.4);
    const kind = random.integer(0, 3);
    if (kind === 0) {
        return {
            at,
            downFor,
            directories: Array.from({ length: directories }, (_, number) => number),
            gateways: allGateways,
        };
    }
    const directory = random.integer(0, directories - 1);
    return { at, downFor, directories: kind === 1 ? [] : [directory], gateways: killedGateways };
}

/** A directory counts as lost until it has caught up with the others; only as many are lost at once as the deployment tolerates. */
function withoutOverlaps(kills: readonly Kill[]): readonly Kill[] {
    const catchUpMilliseconds = 2_000;
    const kept: Kill[] = [];
    for (const kill of kills) {
        const last = kept.at(-1);
        if (last === undefined || kill.at > last.at + last.downFor + catchUpMilliseconds) {
            kept.push(kill);
        }
    }
    return kept;
}
