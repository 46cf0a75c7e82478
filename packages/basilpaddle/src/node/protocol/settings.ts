import { z } from "zod";
import { logLevels } from "../utils/index.js";
import { connectionBoundsSchema } from "./connectionBounds.js";
import { quarantineRulesSchema } from "./crash.js";

const name = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "a name consists of 1 to 63 characters a-z, 0-9 and -, and doesn't start with -",
);
const address = z.strictObject({
    /** IP address; host names aren't resolved. */
    host: z.union([z.ipv4(), z.ipv6()]),
    port: z.int().min(0).max(65_535),
});
const log = z.strictObject({
    /** @default "info" */
    level: z.enum(logLevels).default("info"),
}).prefault({});

/** Timing in milliseconds; all daemons of a deployment must use the same values. */
export const timingSchema = z.strictObject({
    /** How long after the last confirmation of its view a daemon may still start work. @default 3000 */
    viewLease: z.int().min(100).default(3_000),
    /** Interval at which a daemon requests confirmation of its view. @default 400 */
    viewInterval: z.int().min(10).default(400),
    /** Maximum clock drift between two hosts during a lease, as a fraction of its duration. @default 0.02 */
    clockDrift: z.number().min(0).max(0.5).default(0.02),
    /** Time without a heartbeat after which an entry daemon's session is closed and its leases are reassigned. @default 4000 */
    sessionTimeout: z.int().min(100).default(4_000),
    /** Time without a heartbeat after which a backend server is marked as `gone`. @default 5000 */
    backendTimeout: z.int().min(100).default(5_000),
    /** Interval at which the leader of the control daemons sends heartbeats. @default 100 */
    heartbeatInterval: z.int().min(5).default(100),
    /** Minimum time without the leader's heartbeat before a voter starts an election; the maximum is twice this. @default 600 */
    electionTimeout: z.int().min(20).default(600),
});

/** Timing that is the same for all daemons of a deployment. */
export type Timing = z.infer<typeof timingSchema>;

const control = z.strictObject({ name, host: address.shape.host, port: address.shape.port });
const commonFields = {
    /** Name of the daemon, unique in the deployment. */
    name,
    /** Failure domain of the host. */
    failureDomain: name,
    /** HTTP address for operators: status, metrics, health and configuration changes. */
    operators: address,
    /** Address for connections from other daemons: framed TCP. */
    peers: address,
    /** All control daemons of the deployment, with their peer addresses. */
    controls: z.array(control).min(1).max(9),
    timing: timingSchema.prefault({}),
    /** When a request is quarantined because backend servers crashed while running it. */
    holds: quarantineRulesSchema.prefault({}),
    /** Bounds of what the connections to its listeners make it hold. */
    connections: connectionBoundsSchema.prefault({}),
    log,
};

/** The settings file of a control daemon. */
export const controlSettingsSchema = z.strictObject({
    role: z.literal("control"),
    ...commonFields,
    /** Folder for all durable state. */
    dataFolder: z.string().min(1),
});

/** The settings file of an entry daemon. */
export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry"),
    ...commonFields,
    connections: connectionBoundsSchema
        .extend({
            /** More than `limits.openRequests`, each on a connection of its own. @default 8192 */
            connections: z.int().positive().default(8_192),
        })
        .prefault({}),
    /** HTTP address for callers. */
    callers: address,
    /** HTTP address for announcements and heartbeats of backend servers. */
    backends: address,
    limits: z.strictObject({
        /** Maximum size of a request body in bytes. @default 4194304 */
        bodyBytes: z.int().min(1).default(4_194_304),
        /** Bytes that the bodies of all callers together may take until they are answered. @default a quarter of the heap's limit */
        heldBodyBytes: z.int().min(1_000_000).optional(),
        /** Maximum number of concurrent requests. @default 4096 */
        openRequests: z.int().min(1).default(4_096),
        /** Bytes of one answer that may be buffered for a slow caller. @default 262144 */
        waitingBytes: z.int().min(1_024).default(262_144),
        /** Milliseconds within which a caller must have sent its whole request. @default 30000 */
        receiveTimeout: z.int().min(100).default(30_000),
        /** Milliseconds without reads by the caller after which its request is cancelled. @default 20000 */
        stalledReader: z.int().min(100).default(20_000),
    }).prefault({}),
});

/** Any settings file. */
export const settingsSchema = z.discriminatedUnion("role", [controlSettingsSchema, entrySettingsSchema]);

/** An IP address and a port. */
export type Address = z.infer<typeof address>;
/** Resolved settings of a control daemon. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
/** Resolved settings of an entry daemon. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Resolved settings of any daemon. */
export type Settings = z.infer<typeof settingsSchema>;
