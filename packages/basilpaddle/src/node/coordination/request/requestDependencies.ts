import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import type { Placement } from "../placement.js";
import type { CrashDetector } from "../quarantine/index.js";
import type { AttemptIds } from "./attemptIds.js";
import type { Cancellations } from "./cancellations.js";
import type { EngineClients } from "./engineClients.js";
import type { LeavingBackends } from "./leavingBackends.js";
import type { RetryBudget } from "./retryBudget.js";
import type { RunRecords } from "./run.js";

/** Services and state that all requests of one daemon share. */
export type RequestDependencies = {
    readonly failureDomain: string;
    readonly control: ControlClient;
    readonly placement: Placement;
    readonly engines: EngineClients;
    readonly cancellations: Cancellations;
    readonly runRecords: RunRecords;
    readonly leavingBackends: LeavingBackends;
    readonly retryBudget: RetryBudget;
    /** Detects requests that crash the backend servers running them. */
    readonly crashDetector: CrashDetector;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly attempts: AttemptIds;
};
