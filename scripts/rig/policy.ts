import type {
    EngineHolding,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/index.js";
import type { Cluster } from "./cluster.js";

/** How entry daemons come to a decision. Calls come at the time they are made; the policy adds what messages take. */
export abstract class Policy {
    /** Whether what it hears is exact and at once, and it knows the lengths of answers. */
    readonly seesEverything: boolean = false;

    abstract reserve(entry: number, demand: SchedulingRequest, decided: (decision: SchedulingDecision) => void): void;
    abstract withdraw(entry: number, attempt: string): void;
    abstract progress(entry: number, progress: Progress): void;
    abstract load(report: LoadReport): void;
    /** Engines or sessions changed in the view of every entry daemon. */
    abstract viewChanged(): void;
}

/** What a policy gets to see of the rest of the rig. */
export type PolicyContext = {
    readonly cluster: Cluster;
    /** What a live entry daemon holds at engines. */
    readonly holdings: (entry: number) => readonly EngineHolding[];
    readonly seed: number;
};
