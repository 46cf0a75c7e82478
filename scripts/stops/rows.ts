import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { pause } from "../../playground/harness/index.js";
import { Caller, type CallerPlan } from "./caller.js";
import { Deployment } from "./deployment.js";
import type { Exchange, ServerRun, Stop } from "./exchange.js";

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
};

const common = { bodyMilliseconds: 0, beginsFrom: -2_000, beginsOver: 4_000, gateways: 2, stopped: 1 };

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

/** Callers that begin at each stopped gateway, and short requests beside them at all gateways. */
const callersOfGateway = 16;
const callersBeside = 8;
const pathBeside = "/safe/100";
/** Time from the first connection to the first signal, between two signals, and for which callers go on after the last. */
const beforeSignal = 3_500;
const stopInterval = 1_500;
const afterSignal = 9_500;

/** Plays a row with a deployment of its own. */
export async function playRow(row: Row, seed: number, directories: number): Promise<RowResult> {
    const deployment = await Deployment.create({ directories, gateways: row.gateways });
    try {
        const signalAt = performance.now() + beforeSignal;
        const callers = planCallers(row, seed, signalAt).map((plan, index) =>
            Caller.create(`s${seed}-${index}`, plan, deployment.list())
        );
        const ends = callers.map(caller => caller.run());
        await pause(signalAt - performance.now());
        const stops: Promise<void>[] = [];
        for (let index = 0; index < row.stopped; index++) {
            await pause(signalAt + index * stopInterval - performance.now());
            stops.push(deployment.stop(index));
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
    const { path, bodyMilliseconds, beginsFrom, beginsOver, stopped, gateways } = row;
    const plans: CallerPlan[] = [];
    for (let index = 0; index < callersOfGateway * stopped; index++) {
        const gateway = index % stopped;
        const beginsAt = signalAt + beginsFrom + random.fraction() * beginsOver + gateway * stopInterval;
        plans.push({ path, bodyMilliseconds, gateway, beginsAt, isBeside: false });
    }
    for (let index = 0; index < callersBeside; index++) {
        const beginsAt = signalAt - beforeSignal + random.fraction() * 500;
        plans.push({ path: pathBeside, bodyMilliseconds: 0, gateway: index % gateways, beginsAt, isBeside: true });
    }
    return plans;
}
