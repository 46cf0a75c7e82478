import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { pause } from "../../playground/harness/index.js";
import { Caller, type CallerPlan } from "./caller.js";
import { Deployment, type Standstill } from "./deployment.js";
import { EngineFaults, type EnginePlan } from "./engineFaults.js";
import { type Exchange, graceMilliseconds, type ServerRun, type Stop } from "./exchange.js";

/** What callers of a row do; times in milliseconds, those of the beginning against the first signal. */
export type Row = {
    readonly name: string;
    readonly path: string;
    readonly bodyMilliseconds: number;
    readonly beginsFrom: number;
    readonly beginsOver: number;
    /** Gateways of the deployment, and how many of them are stopped, one `stopInterval` after the other. */
    readonly gateways: number;
    readonly stopped: number;
    /** Whether these get their signal; if not, the row is played as if they did. */
    readonly isSignalled: boolean;
    /** Whether the deployment's allowance for second sendings is larger than none. */
    readonly hasRetries: boolean;
    readonly engines: EnginePlan;
    /** Callers of each stopped gateway. */
    readonly callers: number;
    /** Times of the answers that the callers had before, one caller after the other. */
    readonly warmUps: readonly number[];
    /** Whether each request but the first has a connection of its own. */
    readonly keepsConnections: boolean;
    /** How long after the signal a balancer still sends new connections. */
    readonly balancerMilliseconds: number;
    /** When stopped gateways stand still, against their signals. */
    readonly standstills: readonly Standstill[];
};

const soundEngines: EnginePlan = { silentFrom: 0, silentMilliseconds: 0, silentShare: 0, refusedShare: 0 };
const common = {
    bodyMilliseconds: 0,
    beginsFrom: -2_000,
    beginsOver: 4_000,
    gateways: 2,
    stopped: 1,
    isSignalled: true,
    hasRetries: true,
    engines: soundEngines,
    callers: 16,
    warmUps: [20],
    keepsConnections: true,
    balancerMilliseconds: 300,
    standstills: [],
};
/** Streams that are sent about when callers may no longer count on the gateway, on a route most of whose last answers were short. */
const lateStreams = {
    ...common,
    path: "/once/6000",
    beginsFrom: 2_500,
    beginsOver: 1_100,
    warmUps: [1_000, 3_000, 6_000],
};
/** Streams that may be resumed, begin before the signal and outlast the grace period or end shortly before. */
const resumable = { ...common, path: "/resumable/9000", beginsOver: 1_800, callers: 60 };
const silentEngines: EnginePlan = { ...soundEngines, silentFrom: 1_000, silentMilliseconds: 2_500, silentShare: 1 };
const fewRefuse: EnginePlan = { ...soundEngines, refusedShare: 0.3 };
const stillAfterSignal: readonly Standstill[] = [{ from: 1_000, milliseconds: 1_500 }];
const sliceMilliseconds = 100;
const stoppedInSlice = 67;
const thirdOfCoreFrom = -1_000;
/** A third of a core until the grace period ends. */
const thirdOfCore = Array.from(
    { length: (graceMilliseconds - thirdOfCoreFrom) / sliceMilliseconds },
    (_, index): Standstill => ({ from: thirdOfCoreFrom + index * sliceMilliseconds, milliseconds: stoppedInSlice }),
);

/** It begins a moment earlier, so that the signal meets a process that stands still. */
function stillFromSignal(milliseconds: number): readonly Standstill[] {
    const earlier = 10;
    return [{ from: -earlier, milliseconds: milliseconds + earlier }];
}

/** The rows that are played. */
export const rows: readonly Row[] = [
    { ...common, name: "plain requests of 6 s", path: "/safe/6000" },
    { ...common, name: "unsafe requests of 6 s", path: "/unsafe/6000" },
    { ...common, name: "streams of 6 s", path: "/once/6000" },
    {
        ...common,
        name: "bodies of 3 s, unsafe answers of 3 s",
        path: "/unsafe/3000",
        bodyMilliseconds: 3_000,
        beginsFrom: 1_600,
        beginsOver: 700,
    },
    { ...common, name: "answers of 0.3 s", path: "/unsafe/300" },
    { ...common, name: "two of three stopped in turn, unsafe of 6 s", path: "/unsafe/6000", gateways: 3, stopped: 2 },
    {
        ...lateStreams,
        name: "still for 0.25 s from the signal, late streams",
        standstills: stillFromSignal(250),
    },
    {
        ...lateStreams,
        name: "still for 0.5 s from the signal, late streams",
        standstills: stillFromSignal(500),
    },
    {
        ...common,
        name: "a third of a core, new connections",
        path: "/safe/20",
        beginsFrom: -2_000,
        beginsOver: 1_000,
        callers: 128,
        keepsConnections: false,
        balancerMilliseconds: 2_500,
        standstills: thirdOfCore,
    },
    {
        ...lateStreams,
        name: "still for 0.6 s around 2.8 s, late streams",
        standstills: [{ from: 2_500, milliseconds: 600 }],
    },
    {
        ...common,
        name: "still for 0.6 s around 7 s, streams of 6 s",
        path: "/once/6000",
        standstills: [{ from: 6_700, milliseconds: 600 }],
    },
    {
        ...resumable,
        name: "resumable: engines silent for 2.5 s, no retries",
        hasRetries: false,
        engines: silentEngines,
    },
    {
        ...resumable,
        name: "resumable: half of the runs silent for 2.5 s, nine in ten turned down",
        engines: { ...silentEngines, silentShare: 0.5, refusedShare: 0.9 },
    },
    {
        ...resumable,
        name: "resumable: gateway still for 1.5 s, three in ten turned down",
        engines: fewRefuse,
        standstills: stillAfterSignal,
    },
    {
        ...resumable,
        name: "resumable: gateway still for 1.5 s, no retries",
        hasRetries: false,
        engines: fewRefuse,
        standstills: stillAfterSignal,
    },
    {
        ...resumable,
        name: "resumable: gateway still for 1.5 s, three in ten turned down, no stop",
        isSignalled: false,
        engines: fewRefuse,
        standstills: stillAfterSignal,
    },
];

/** What was observed of a row. */
export type RowResult = {
    readonly row: Row;
    readonly exchanges: readonly Exchange[];
    readonly stops: readonly Stop[];
    readonly runs: ReadonlyMap<string, ServerRun>;
    readonly fallen: readonly string[];
    readonly outputs: ReadonlyMap<string, string>;
};

/** Callers of short requests beside, at all gateways. */
const callersBeside = 8;
const pathBeside = "/safe/100";
/** Time from the first connection to the first signal, between two signals, and for which callers go on after the last. */
const beforeSignal = 3_500;
const stopInterval = 1_500;
const afterSignal = 9_500;

/** Plays a row with a deployment of its own. */
export async function playRow(row: Row, seed: number, directories: number): Promise<RowResult> {
    const { gateways, hasRetries, balancerMilliseconds, standstills } = row;
    const faults = EngineFaults.create(row.engines, SeededRandomness.create(-1 - seed));
    const deployment = await Deployment.create({ directories, gateways, hasRetries, balancerMilliseconds }, faults);
    try {
        const signalAt = performance.now() + beforeSignal + Math.max(...row.warmUps);
        faults.setSignal(signalAt);
        const callers = planCallers(row, seed, signalAt).map((plan, index) =>
            Caller.create(`s${seed}-${index}`, plan, deployment.list())
        );
        const ends = callers.map(caller => caller.run());
        const stops: Promise<void>[] = [];
        for (let index = 0; index < row.stopped; index++) {
            stops.push(deployment.standStill(index, signalAt + index * stopInterval, standstills));
        }
        for (let index = 0; index < row.stopped; index++) {
            await pause(signalAt + index * stopInterval - performance.now());
            if (row.isSignalled) {
                stops.push(deployment.stop(index));
            }
        }
        await pause(signalAt + (row.stopped - 1) * stopInterval + afterSignal - performance.now());
        callers.forEach(caller => caller.stop());
        await Promise.all([...ends, ...stops]);
        const exchanges = callers.flatMap(caller => caller.exchanges);
        const { runs } = deployment;
        return {
            row,
            exchanges,
            stops: deployment.stops,
            runs,
            fallen: deployment.fallen(),
            outputs: deployment.outputs(),
        };
    }
    finally {
        await deployment.close();
    }
}

function planCallers(row: Row, seed: number, signalAt: number): CallerPlan[] {
    const random = SeededRandomness.create(seed);
    const { path, bodyMilliseconds, beginsFrom, beginsOver, stopped, gateways, callers, warmUps } = row;
    const keepsConnection = row.keepsConnections;
    const plans: CallerPlan[] = [];
    for (let index = 0; index < callers * stopped; index++) {
        const gateway = index % stopped;
        const beginsAt = signalAt + beginsFrom + random.fraction() * beginsOver + gateway * stopInterval;
        const warmUpMilliseconds = warmUps[index % warmUps.length]!;
        plans.push({
            path,
            bodyMilliseconds,
            gateway,
            beginsAt,
            warmUpMilliseconds,
            keepsConnection,
            isBeside: false,
        });
    }
    for (let index = 0; index < callersBeside; index++) {
        const beginsAt = signalAt - beforeSignal + random.fraction() * 500;
        plans.push({
            path: pathBeside,
            bodyMilliseconds: 0,
            gateway: index % gateways,
            beginsAt,
            warmUpMilliseconds: 20,
            keepsConnection: true,
            isBeside: true,
        });
    }
    return plans;
}
