import type { Hearing, HeldRequests, InForce, Replica } from "../../coordination/index.js";
import type { Timing } from "../../protocol/index.js";
import type { Ledger } from "../../state/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** What the parts of a control daemon share. */
export type ControlCore = {
    readonly name: string;
    readonly timing: Timing;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly ledger: Ledger;
    readonly replica: Replica;
    readonly hearing: Hearing;
    readonly inForce: InForce;
    /** What all daemons know of requests under which backend servers ended. */
    readonly held: HeldRequests;
};
