import type {
    EngineAllocation,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import type { Cluster } from "./cluster.js";

/** Scheduling policy of the entry daemons. Calls arrive without delay; the policy simulates the network delay of its messages. */
export abstract class Policy {
    /** Whether its information is exact and immediate and includes the lengths of answers. */
    readonly hasPerfectInformation: boolean = false;

    abstract reserve(
        entry: number,
        request: SchedulingRequest,
        onDecision: (decision: SchedulingDecision) => void,
    ): void;
    abstract withdraw(entry: number, attempt: string): void;
    abstract progress(entry: number, progress: Progress): void;
    abstract load(report: LoadReport): void;
    /** Called when engines or sessions have changed in the view of every entry daemon. */
    abstract viewChanged(): void;
}

/** What a policy can access in the simulation. */
export type PolicyContext = {
    readonly cluster: Cluster;
    /** Engine allocations of a running entry daemon. */
    readonly allocations: (entry: number) => readonly EngineAllocation[];
    readonly seed: number;
};
