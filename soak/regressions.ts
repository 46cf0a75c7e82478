import type { SoakPlan } from "./plan.js";

/** A plan that once broke a promise. */
export type Regression = { readonly cause: string; readonly plan: SoakPlan; };

/** Plans that once broke a promise, whole, since what a seed draws changes with the kinds of faults. */
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
];
