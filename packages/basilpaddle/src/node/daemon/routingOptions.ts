import type { Network } from "../transport/index.js";
import type { Clock, Logger } from "../utils/index.js";

/** What gateways and directories need alike: their settings, and what the outside says there. */
export type RoutingOptions<Settings, Wire> = {
    readonly settings: Settings;
    /** Names of the directories to begin with; looked at anew since settings may change. */
    readonly seeds?: () => readonly string[];
    readonly wire: Wire;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Links to other daemons; over TCP unless given. */
    readonly network?: Network;
};
