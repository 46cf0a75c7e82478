import {
    defaultTuning,
    LocalScheduler,
    type SchedulerTuning,
    SeededRandomness,
} from "../../packages/basilpaddle/src/node/index.js";
import { EngineSidePolicy, RandomPolicy } from "./baselinePolicies.js";
import { Cluster } from "./cluster.js";
import { type Deployment, engineModel, generateArrivals } from "./deployments.js";
import { computeMetrics, type RunMetrics } from "./metrics.js";
import type { Policy, PolicyContext } from "./policy.js";
import { Requests } from "./requests.js";
import { LocalPolicy, PoolPolicy } from "./schedulerPolicies.js";
import { Simulation } from "./simulation.js";

/** Faults that can be injected into a run. */
export const faults = [
    "none",
    "engineDies",
    "transferStalls",
    "cancels",
    "entryDies",
    "schedulerCut",
    "reportsStop",
] as const;
/** A fault that can be injected into a run. */
export type Fault = (typeof faults)[number];

/** Scheduling policies that can be compared. */
export const policies = ["pool", "alone", "engineSide", "random", "bound"] as const;
/** A scheduling policy. */
export type PolicyName = (typeof policies)[number];

/** Phases of a run in milliseconds: warm-up, then measurement while requests still arrive, then draining until the end. */
const measurementStart = 40_000;
const measurementEnd = 100_000;
const faultAt = 60_000;
const runEnd = 180_000;
/** Milliseconds between load reports, and the range of their delivery delay. */
const reportInterval = 1_000;
const reportDelay = { min: 100, max: 500 };
/** Ratio of load reports that lose their cache events. */
const cacheEventLoss = 0.1;
/** Milliseconds of silence after which the view marks an engine as gone, and after which a session is closed. */
const silenceTimeout = 5_000;
const sessionTimeout = 4_000;
/** Duration of temporary faults in milliseconds. */
const faultDuration = 10_000;

/** Options of one run. */
export type RunOptions = {
    readonly deployment: Deployment;
    readonly load: number;
    readonly policy: PolicyName;
    readonly fault: Fault;
    readonly seed: number;
    readonly tuning?: Partial<SchedulerTuning>;
    /** Whether an import is retried while the decode engine has no free slot and the prefill result is kept. @default true */
    readonly retryImport?: boolean;
};

/** Tunings that the upper bound runs with perfect information; the best result counts, since no single tuning is best for every load. */
const boundTunings: readonly Partial<SchedulerTuning>[] = [{}, { mostLag: 0 }, { admission: 1.05 }, {
    admission: 0.85,
    mostLag: 0,
}];

/** Runs the simulation once. The same options give the same metrics. */
export function run(options: RunOptions): RunMetrics {
    if (options.policy !== "bound") {
        return runOnce(options);
    }
    const results = boundTunings.map(tuning => runOnce({ ...options, tuning: { ...options.tuning, ...tuning } }));
    return results.reduce((best, metrics) => metrics.good > best.good ? metrics : best);
}

function runOnce(options: RunOptions): RunMetrics {
    const { deployment, fault, seed } = options;
    const simulation = Simulation.create();
    // Arrivals have their own random generator, so that every policy gets the same requests.
    const cancelledShare = fault === "cancels" ? 0.15 : 0;
    const arrivals = generateArrivals(
        deployment,
        { load: options.load, until: measurementEnd, cancelledShare },
        SeededRandomness.create(seed),
    );
    const cluster = Cluster.create(simulation, deployment, SeededRandomness.create(seed + 1_000_003));
    const requests: Requests = new Requests(cluster, () => policy, options.retryImport ?? true);
    const policy: Policy = createPolicy(options, {
        cluster,
        allocations: entry => requests.allocations(entry),
        seed,
    });
    for (const arrival of arrivals) {
        simulation.after(arrival.at, () => requests.start(arrival));
    }
    scheduleReports(cluster, policy);
    simulation.after(faultAt, () => injectFault(fault, cluster, requests, policy));
    simulation.runUntil(measurementStart);
    const before = readBusyTime(cluster);
    simulation.runUntil(measurementEnd);
    const after = readBusyTime(cluster);
    simulation.runUntil(runEnd);
    requests.finish();
    const milliseconds = measurementEnd - measurementStart;
    return computeMetrics(
        requests.outcomes.filter(outcome => outcome.arrival.at >= measurementStart),
        requests.wastedPrefills,
        {
            targets: deployment.targets,
            milliseconds,
            prefillBusy: cluster.prefills.reduce((sum, engine) => sum + engine.busyTime, 0),
            idlePrefill: 1 - (after.prefill - before.prefill) / (milliseconds * deployment.prefillEngines),
            idleSlots: 1 - (after.slots - before.slots) / (milliseconds * deployment.decodeEngines * engineModel.slots),
        },
    );
}

function readBusyTime(cluster: Cluster): { readonly prefill: number; readonly slots: number; } {
    cluster.decodes.forEach(engine => engine.updateCounters());
    return {
        prefill: cluster.prefills.reduce((sum, engine) => sum + engine.busyTime, 0),
        slots: cluster.decodes.reduce((sum, engine) => sum + engine.busyTime, 0),
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
            return new LocalPolicy(
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

function scheduleReports(cluster: Cluster, policy: Policy): void {
    const { simulation, randomness } = cluster;
    const interval = policy.hasPerfectInformation ? 100 : reportInterval;
    for (const engine of [...cluster.prefills, ...cluster.decodes]) {
        const report = (): void => {
            simulation.after(interval, report);
            if (!engine.alive || (cluster.reportsStopped && !policy.hasPerfectInformation)) {
                return;
            }
            const loadReport = engine.report();
            const delay = policy.hasPerfectInformation ? 0 : randomness.integer(reportDelay.min, reportDelay.max);
            const cacheEventsLost = !policy.hasPerfectInformation && randomness.fraction() < cacheEventLoss;
            simulation.after(
                delay,
                () => policy.load(cacheEventsLost ? { ...loadReport, cache: undefined } : loadReport),
            );
        };
        simulation.after(randomness.integer(0, interval), report);
    }
}

function injectFault(fault: Fault, cluster: Cluster, requests: Requests, policy: Policy): void {
    const { simulation } = cluster;
    const hasPerfectInformation = policy.hasPerfectInformation;
    switch (fault) {
        case "none":
        case "cancels":
            return;
        case "engineDies": {
            const engine = cluster.decodes[0]!;
            engine.alive = false;
            requests.engineDied(engine.id);
            simulation.after(hasPerfectInformation ? 0 : silenceTimeout, () => {
                cluster.unavailable.add(engine.id);
                policy.viewChanged();
            });
            return;
        }
        case "transferStalls": {
            const engine = cluster.decodes[0]!;
            cluster.stalledEngines.add(engine.id);
            simulation.after(faultDuration, () => cluster.stalledEngines.delete(engine.id));
            if (hasPerfectInformation) {
                cluster.unavailable.add(engine.id);
                policy.viewChanged();
                simulation.after(faultDuration, () => {
                    cluster.unavailable.delete(engine.id);
                    policy.viewChanged();
                });
            }
            return;
        }
        case "entryDies": {
            const entry = cluster.entryAlive.length - 1;
            cluster.entryAlive[entry] = false;
            requests.entryDied(entry, hasPerfectInformation ? 0 : sessionTimeout + 1_000);
            simulation.after(hasPerfectInformation ? 0 : sessionTimeout, () => {
                cluster.sessionOpen[entry] = false;
                policy.viewChanged();
            });
            return;
        }
        case "schedulerCut":
            cluster.entryPartitioned[0] = !hasPerfectInformation;
            simulation.after(faultDuration, () => {
                cluster.entryPartitioned[0] = false;
            });
            return;
        case "reportsStop":
            cluster.reportsStopped = true;
            simulation.after(faultDuration, () => {
                cluster.reportsStopped = false;
            });
            return;
    }
}
