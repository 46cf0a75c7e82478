import {
    defaultTuning,
    LocalScheduler,
    type SchedulerTuning,
    SeededRandomness,
} from "../../packages/basilpaddle/src/node/index.js";
import { Cluster } from "./cluster.js";
import { type Deployment, engineModel, makeLoad } from "./deployments.js";
import { type Figures, figures } from "./measures.js";
import { EngineSidePolicy, RandomPolicy } from "./otherPolicies.js";
import { AlonePolicy, PoolPolicy } from "./policies.js";
import type { Policy, PolicyContext } from "./policy.js";
import { Requests } from "./requests.js";
import { Simulation } from "./simulation.js";

/** Faults that a run can have. */
export const faults = [
    "none",
    "engineDies",
    "transferStalls",
    "cancels",
    "entryDies",
    "schedulerCut",
    "reportsStop",
] as const;
/** A fault that a run can have. */
export type Fault = (typeof faults)[number];

/** Ways to decide. */
export const policies = ["pool", "alone", "engineSide", "random", "bound"] as const;
/** A way to decide. */
export type PolicyName = (typeof policies)[number];

/** Milliseconds of a run: filled up until the first, measured until the second, and let run out to the last. */
const measuredFrom = 40_000;
const measuredTo = 100_000;
const faultAt = 60_000;
const runsOutBy = 180_000;
/** Milliseconds between load reports, and by how much they come late. */
const reportEvery = 1_000;
const reportLate = { least: 100, most: 500 };
/** Part of the cache events that get lost. */
const cacheLoss = 0.1;
/** Milliseconds of silence after which the view calls an engine gone, and a session is closed. */
const goneAfter = 5_000;
const sessionAfter = 4_000;
/** Milliseconds for which a fault that ends lasts. */
const faultLasts = 10_000;

/** One run of the rig. */
export type RunOptions = {
    readonly deployment: Deployment;
    readonly load: number;
    readonly policy: PolicyName;
    readonly fault: Fault;
    readonly seed: number;
    readonly tuning?: Partial<SchedulerTuning>;
    /** Whether an import that finds the decode engine full is tried again while the result is kept. @default true */
    readonly importAgain?: boolean;
};

/** What the bound tries, with everything seen: no one order is best for every load, so the best of these counts. */
const boundTunings: readonly Partial<SchedulerTuning>[] = [{}, { mostLag: 0 }, { admission: 1.05 }, {
    admission: 0.85,
    mostLag: 0,
}];

/** Runs the rig once. The same options give the same figures. */
export function run(options: RunOptions): Figures {
    if (options.policy !== "bound") {
        return runOnce(options);
    }
    const tried = boundTunings.map(tuning => runOnce({ ...options, tuning: { ...options.tuning, ...tuning } }));
    return tried.reduce((best, figures) => figures.good > best.good ? figures : best);
}

function runOnce(options: RunOptions): Figures {
    const { deployment, fault, seed } = options;
    const simulation = Simulation.create();
    // The load has randomness of its own, so that every policy gets the same.
    const cancelling = fault === "cancels" ? 0.15 : 0;
    const load = makeLoad(
        deployment,
        { load: options.load, until: measuredTo, cancelling },
        SeededRandomness.create(seed),
    );
    const cluster = Cluster.create(simulation, deployment, SeededRandomness.create(seed + 1_000_003));
    const requests: Requests = new Requests(cluster, () => policy, options.importAgain ?? true);
    const policy: Policy = createPolicy(options, {
        cluster,
        holdings: entry => requests.holdings(entry),
        seed,
    });
    for (const one of load) {
        simulation.after(one.at, () => requests.begin(one));
    }
    startReports(cluster, policy);
    simulation.after(faultAt, () => cause(fault, cluster, requests, policy));
    simulation.runUntil(measuredFrom);
    const before = used(cluster);
    simulation.runUntil(measuredTo);
    const after = used(cluster);
    simulation.runUntil(runsOutBy);
    requests.finish();
    const milliseconds = measuredTo - measuredFrom;
    return figures(requests.outcomes.filter(outcome => outcome.load.at >= measuredFrom), requests.wastes, {
        targets: deployment.targets,
        milliseconds,
        prefillBusy: cluster.prefills.reduce((sum, engine) => sum + engine.busy, 0),
        idlePrefill: 1 - (after.prefill - before.prefill) / (milliseconds * deployment.prefillEngines),
        idleSlots: 1 - (after.slots - before.slots) / (milliseconds * deployment.decodeEngines * engineModel.slots),
    });
}

function used(cluster: Cluster): { readonly prefill: number; readonly slots: number; } {
    cluster.decodes.forEach(engine => engine.account());
    return {
        prefill: cluster.prefills.reduce((sum, engine) => sum + engine.busy, 0),
        slots: cluster.decodes.reduce((sum, engine) => sum + engine.busy, 0),
    };
}

function createPolicy(options: RunOptions, context: PolicyContext): Policy {
    const tuning = { ...defaultTuning, ...options.tuning };
    switch (options.policy) {
        case "pool":
            return new PoolPolicy(context, tuning, false);
        case "bound":
            return new PoolPolicy(context, tuning, true);
        case "alone":
            return new AlonePolicy(
                context,
                entry =>
                    LocalScheduler.create({
                        randomness: SeededRandomness.create(options.seed * 17 + entry),
                        divided: false,
                    }),
            );
        case "engineSide":
            return new EngineSidePolicy(context);
        case "random":
            return new RandomPolicy(context);
    }
}

function startReports(cluster: Cluster, policy: Policy): void {
    const { simulation, randomness } = cluster;
    const every = policy.seesEverything ? 100 : reportEvery;
    for (const engine of [...cluster.prefills, ...cluster.decodes]) {
        const report = (): void => {
            simulation.after(every, report);
            if (!engine.alive || (cluster.reportsStopped && !policy.seesEverything)) {
                return;
            }
            const told = engine.report();
            const late = policy.seesEverything ? 0 : randomness.integer(reportLate.least, reportLate.most);
            const lost = !policy.seesEverything && randomness.fraction() < cacheLoss;
            simulation.after(late, () => policy.load(lost ? { ...told, cache: undefined } : told));
        };
        simulation.after(randomness.integer(0, every), report);
    }
}

function cause(fault: Fault, cluster: Cluster, requests: Requests, policy: Policy): void {
    const { simulation } = cluster;
    const exact = policy.seesEverything;
    switch (fault) {
        case "none":
        case "cancels":
            return;
        case "engineDies": {
            const engine = cluster.decodes[0]!;
            engine.alive = false;
            requests.engineDied(engine.id);
            simulation.after(exact ? 0 : goneAfter, () => {
                cluster.gone.add(engine.id);
                policy.viewChanged();
            });
            return;
        }
        case "transferStalls": {
            const engine = cluster.decodes[0]!;
            cluster.stalled.add(engine.id);
            simulation.after(faultLasts, () => cluster.stalled.delete(engine.id));
            if (exact) {
                cluster.gone.add(engine.id);
                policy.viewChanged();
                simulation.after(faultLasts, () => {
                    cluster.gone.delete(engine.id);
                    policy.viewChanged();
                });
            }
            return;
        }
        case "entryDies": {
            const entry = cluster.entryAlive.length - 1;
            cluster.entryAlive[entry] = false;
            requests.entryDied(entry, exact ? 0 : sessionAfter + 1_000);
            simulation.after(exact ? 0 : sessionAfter, () => {
                cluster.sessionOpen[entry] = false;
                policy.viewChanged();
            });
            return;
        }
        case "schedulerCut":
            cluster.entryCut[0] = !exact;
            simulation.after(faultLasts, () => {
                cluster.entryCut[0] = false;
            });
            return;
        case "reportsStop":
            cluster.reportsStopped = true;
            simulation.after(faultLasts, () => {
                cluster.reportsStopped = false;
            });
            return;
    }
}
