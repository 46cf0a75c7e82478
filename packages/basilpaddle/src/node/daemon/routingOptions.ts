import type { Network } from "../transport/index.js";
import type { Clock, Logger } from "../utils/index.js";

/** Options common to gateways and directories; `Wire` translates between them and those outside. */
export type RoutingOptions<Settings, Wire> = {
    readonly settings: Settings;
    /** Names of the seed directories. Called anew for each use, since the settings may change. */
    readonly seeds?: () => readonly string[];
    readonly wire: Wire;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Network for links to other daemons. @default TCP */
    readonly network?: Network;
};
