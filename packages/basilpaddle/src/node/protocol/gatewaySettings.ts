import { z } from "zod";
import { logLevels } from "../utils/index.js";
import { holdRulesSchema } from "./crash.js";

const endpoint = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, "an endpoint is IP:PORT").transform(text => {
    const [host, port] = text.split(":") as [string, string];
    return { host, port: Number(port) };
});
const milliseconds = z.number().positive();
const millisecondsInSecond = 1_000;
/** Written in seconds, as people think of such times; milliseconds inside. */
const seconds = z.number().positive().transform(value => value * millisecondsInSecond);

const common = {
    /** The daemon's own name, unique in the deployment. */
    name: z.string().min(1),
    /** The failure domain that the host stands in. */
    failureDomain: z.string().min(1),
    /** The host's address, by which other daemons reach it. */
    host: z.ipv4(),
    /**
     * Host that this daemon listens on and connects from, where others know it by another one: behind a relay or an
     * address translation. @default host
     */
    bindHost: z.ipv4().optional(),
    /** Port for framed TCP between daemons; the same on all hosts. */
    peerPort: z.int().min(1).max(65_535),
    /** A few directories to begin with. Only their hosts matter: other daemons reach them on `peerPort`. */
    seeds: z.array(endpoint).max(9),
    /** Where metrics are served, on the host's address; 0 lets the system choose. */
    metricsPort: z.int().min(0).max(65_535),
    log: z.strictObject({ level: z.enum(logLevels).default("info") }).prefault({}),
    /** When requests are held back that backend servers end under. */
    holds: holdRulesSchema.prefault({}),
};

/** What may be sent to a second backend server: `ratio` of the requests and `slack` in each window (seconds), over all gateways. */
const repeats = z.object({ ratio: z.number().min(0), window: seconds, slack: z.number().min(0) });

/** Settings of a gateway: takes requests, and has no state that must survive. */
export const gatewaySettingsSchema = z.object({
    role: z.literal("gateway"),
    ...common,
    /** Where callers connect. */
    callers: endpoint,
    /** Where the balancer asks whether this daemon is ready. */
    readiness: endpoint,
    repeats,
    /** How long a daemon that was told to stop may go on with what it has begun, in seconds. */
    shutdownTime: seconds,
});

/** Settings of a directory: keeps the configuration, hears backend servers, places runs. */
export const directorySettingsSchema = z.object({
    role: z.literal("directory"),
    ...common,
    /** Where operators and backend servers call. */
    calls: endpoint,
    /** The one folder for durable state. */
    dataFolder: z.string().min(1),
    /** Whether the whole deployment starts for the first time, with empty disks: only then the seeds form a group. */
    firstStart: z.boolean(),
    /** Hosts with a disk that may be lost at once. */
    tolerated: z.int().min(0).max(4),
    /** How often a backend server sends a heartbeat. */
    heartbeat: milliseconds,
    /** Silence that a holder of the right to give orders is granted before another one gives any. */
    orderLease: milliseconds,
    /** As in gateways' settings: a part of the slack is lent out by the leader. @default nothing is lent */
    repeats: repeats.optional(),
    /** How long a daemon that was told to stop may go on with what it has begun, in seconds. */
    shutdownTime: seconds,
});

/** The settings file of either daemon. */
export const routingSettingsSchema = z.discriminatedUnion("role", [gatewaySettingsSchema, directorySettingsSchema]);

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
/** Settings of a directory. */
export type DirectorySettings = z.infer<typeof directorySettingsSchema>;
/** The settings file of either daemon. */
export type RoutingSettings = z.infer<typeof routingSettingsSchema>;

/** Names of the directories that the settings give to begin with. */
export function seedNames(settings: RoutingSettings): string[] {
    return settings.seeds.map(seed => `${seed.host}:${settings.peerPort}`);
}
