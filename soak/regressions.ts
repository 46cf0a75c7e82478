import type { SoakPlan } from "./plan.js";

/** A plan that once violated an invariant, and the cause of the violation. */
export type Regression = { readonly cause: string; readonly plan: SoakPlan; };

/** Plans that once violated an invariant. They are stored in full, as the plan of a seed changes with the list of fault kinds. */
export const regressions: readonly Regression[] = [
    {
        cause:
            "engines that had moved to another directory were considered silent everywhere, since no directory contradicted it",
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
        cause: "SIGHUP terminated daemons that had just been started and had no handler for it yet",
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
        cause: "SIGHUP terminated daemons that had just been started and had no handler for it yet",
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
    {
        cause: "a request crossed the closing of its idle connection just after its gateway was told to stop",
        plan: {
            seed: 4040,
            directories: 5,
            gateways: 6,
            engines: 6,
            plainServers: 3,
            length: 14000,
            requestsPerSecond: 30,
            faults: [
                { kind: "stopDirectory", at: 2487, lasts: 4272, pick: 0.9812484158513796 },
                { kind: "stopDirectory", at: 3187, lasts: 1656, pick: 0.6534201868426143 },
                { kind: "changeSeeds", at: 4904, lasts: 3799, pick: 0.2761806614288953 },
                { kind: "changeSeeds", at: 5604, lasts: 2601, pick: 0.3392536366702359 },
                { kind: "changeSeeds", at: 6962, lasts: 418, pick: 0.7878454375537475 },
                { kind: "changeSeeds", at: 7662, lasts: 3791, pick: 0.9937307661949986 },
                { kind: "changeSeeds", at: 8362, lasts: 1464, pick: 0.941525750073789 },
                { kind: "changeSeeds", at: 9062, lasts: 2748, pick: 0.31178480538188047 },
                { kind: "stopGateway", at: 9653, lasts: 734, pick: 0.6088270924705402 },
                { kind: "changeSeeds", at: 10701, lasts: 3839, pick: 0.8658120338194288 },
                { kind: "stopGateway", at: 11883, lasts: 450, pick: 0.398394532725476 },
                { kind: "changeSeeds", at: 12584, lasts: 646, pick: 0.635601200954808 },
                { kind: "drainBackend", at: 13920, lasts: 3696, pick: 0.23129932412106557 },
            ],
        },
    },
    {
        cause:
            "a leave call without a start time was undone by heartbeats that had been sent before, and by kills of directories",
        plan: {
            seed: 8009,
            directories: 3,
            gateways: 3,
            engines: 6,
            plainServers: 3,
            length: 14000,
            requestsPerSecond: 30,
            faults: [
                { kind: "leaveBackends", at: 1500, lasts: 1000, pick: 0.9 },
                { kind: "killDirectory", at: 2500, lasts: 1200, pick: 0 },
                { kind: "leaveBackends", at: 5000, lasts: 3000, pick: 0.9 },
                { kind: "killGateway", at: 6800, lasts: 300, pick: 0.5 },
                { kind: "killAll", at: 11000, lasts: 500, pick: 0 },
            ],
        },
    },
];
