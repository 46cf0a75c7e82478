import type { SoakPlan } from "./plan.js";

/** A plan that once broke an invariant. */
export type Regression = { readonly cause: string; readonly plan: SoakPlan; };

/** Plans that once broke an invariant, whole, since what a seed draws changes with the kinds of faults. */
export const regressions: readonly Regression[] = [
    {
        cause: "engines that had moved on from a directory counted as silent everywhere, since nobody contradicted it",
        plan: {
            seed: 10,
            directories: 3,
            gateways: 4,
            engines: 6,
            plainServers: 3,
            length: 14000,
            requestsPerSecond: 30,
            faults: [
                { kind: "pauseDirectory", at: 2020, lasts: 2168, pick: 0.1867 },
                { kind: "pauseDirectory", at: 2720, lasts: 684, pick: 0.4852 },
                { kind: "cutGateway", at: 3238, lasts: 2477, pick: 0.9255 },
                { kind: "resetBackends", at: 4847, lasts: 4647, pick: 0.1623 },
                { kind: "cutDirectory", at: 6089, lasts: 3686, pick: 0.3446 },
                { kind: "invalidConfiguration", at: 8335, lasts: 2423, pick: 0.8918 },
                { kind: "invalidConfiguration", at: 9035, lasts: 1664, pick: 0.5337 },
                { kind: "resetPeers", at: 10744, lasts: 3955, pick: 0.1295 },
                { kind: "lapseHandles", at: 12811, lasts: 1425, pick: 0.3452 },
            ],
        },
    },
    {
        cause: "SIGHUP ended daemons that had just been started and didn't listen for it yet",
        plan: {
            seed: 101,
            directories: 5,
            gateways: 3,
            engines: 6,
            plainServers: 3,
            length: 14000,
            requestsPerSecond: 30,
            faults: [
                { kind: "wipeDirectory", at: 725, lasts: 3956, pick: 0.4583 },
                { kind: "wipeDirectory", at: 1425, lasts: 207, pick: 0.6882 },
                { kind: "cutGateway", at: 2331, lasts: 1382, pick: 0.8593 },
                { kind: "killDirectory", at: 4135, lasts: 751, pick: 0.8533 },
                { kind: "killDirectory", at: 4835, lasts: 1107, pick: 0.4624 },
                { kind: "killDirectory", at: 5535, lasts: 1823, pick: 0.1333 },
                { kind: "changeSeeds", at: 6348, lasts: 4688, pick: 0.031 },
                { kind: "changeSeeds", at: 7048, lasts: 1662, pick: 0.0273 },
                { kind: "cutGateway", at: 7594, lasts: 1122, pick: 0.7826 },
                { kind: "resetCallers", at: 8182, lasts: 4915, pick: 0.7927 },
                { kind: "killAll", at: 9257, lasts: 3267, pick: 0.3132 },
                { kind: "drainBackend", at: 11511, lasts: 556, pick: 0.2862 },
                { kind: "resetBackends", at: 12639, lasts: 1079, pick: 0.9865 },
                { kind: "drainBackend", at: 12915, lasts: 1203, pick: 0.1407 },
                { kind: "drainBackend", at: 13615, lasts: 1595, pick: 0.6371 },
            ],
        },
    },
    {
        cause: "SIGHUP ended daemons that had just been started and didn't listen for it yet",
        plan: {
            seed: 103,
            directories: 3,
            gateways: 5,
            engines: 6,
            plainServers: 3,
            length: 14000,
            requestsPerSecond: 30,
            faults: [
                { kind: "drainBackend", at: 1782, lasts: 1859, pick: 0.4258 },
                { kind: "killAll", at: 3898, lasts: 2773, pick: 0.6676 },
                { kind: "changeSeeds", at: 6456, lasts: 2951, pick: 0.0937 },
                { kind: "lapseHandles", at: 8981, lasts: 3580, pick: 0.5045 },
                { kind: "lapseHandles", at: 9681, lasts: 4627, pick: 0.9089 },
                { kind: "lapseHandles", at: 12082, lasts: 305, pick: 0.3179 },
                { kind: "cutDirectory", at: 13261, lasts: 4167, pick: 0.2398 },
            ],
        },
    },
];
