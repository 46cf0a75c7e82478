import type { InForceTracker, LivenessTable, QuarantinedRequests, Replica } from "../../coordination/index.js";
import type { Timing } from "../../protocol/index.js";
import type { Ledger } from "../../state/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** State and dependencies that the components of a control daemon share. */
export type ControlCore = {
    readonly name: string;
    readonly timing: Timing;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly ledger: Ledger;
    readonly replica: Replica;
    readonly livenessTable: LivenessTable;
    readonly inForce: InForceTracker;
    /** Requests that are quarantined because backend servers crashed while running them, as known to all daemons. */
    readonly quarantine: QuarantinedRequests;
};
