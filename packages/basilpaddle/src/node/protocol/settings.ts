import { z } from "zod";
import { logLevels } from "../utils/index.js";
import { holdRulesSchema } from "./crash.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name is 1 to 63 of a-z, 0-9 and -, and starts without -");
const address = z.strictObject({
    /** An IP number; host names aren't looked up. */
    host: z.union([z.ipv4(), z.ipv6()]),
    port: z.int().min(0).max(65_535),
});
const log = z.strictObject({
    /** @default "info" */
    level: z.enum(logLevels).default("info"),
}).prefault({});

/** The timing that every daemon of a deployment must share, in milliseconds. */
export const timingSchema = z.strictObject({
    /** How long a daemon may start work after its view was last confirmed. @default 3000 */
    viewLease: z.int().min(100).default(3_000),
    /** How often a daemon has its view confirmed. @default 400 */
    viewInterval: z.int().min(10).default(400),
    /** Part of a lease by which clocks of two hosts may drift apart while it runs. @default 0.02 */
    clockDrift: z.number().min(0).max(0.5).default(0.02),
    /** Silence after which a session of an entry daemon is closed and its leases are granted anew. @default 4000 */
    sessionTimeout: z.int().min(100).default(4_000),
    /** Silence after which a backend server counts as gone. @default 5000 */
    backendTimeout: z.int().min(100).default(5_000),
    /** How often a leader of the control daemons sends a heartbeat. @default 100 */
    heartbeatInterval: z.int().min(5).default(100),
    /** Least silence of the leader after which a voter stands for election; the most is twice this. @default 600 */
    electionTimeout: z.int().min(20).default(600),
});

/** The timing that every daemon of a deployment must share. */
export type Timing = z.infer<typeof timingSchema>;

const control = z.strictObject({ name, host: address.shape.host, port: address.shape.port });
const common = {
    /** The daemon's own name, unique in the deployment. */
    name,
    /** The failure domain that the host stands in. */
    failureDomain: name,
    /** Where operators reach this daemon over HTTP: status, metrics, health, changes. */
    operators: address,
    /** Where other daemons reach this one: framed TCP. */
    peers: address,
    /** All control daemons of the deployment, with their peer addresses. */
    controls: z.array(control).min(1).max(9),
    timing: timingSchema.prefault({}),
    /** When requests are held back that backend servers end under. */
    holds: holdRulesSchema.prefault({}),
    log,
};

/** The settings file of a control daemon. */
export const controlSettingsSchema = z.strictObject({
    role: z.literal("control"),
    ...common,
    /** The one folder for durable state. */
    dataFolder: z.string().min(1),
});

/** The settings file of an entry daemon. */
export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry"),
    ...common,
    /** Where callers reach this daemon over HTTP. */
    callers: address,
    /** Where backend servers announce themselves over HTTP. */
    backends: address,
    limits: z.strictObject({
        /** Largest request body in bytes. @default 4194304 */
        bodyBytes: z.int().min(1).default(4_194_304),
        /** Requests open at once. @default 4096 */
        openRequests: z.int().min(1).default(4_096),
        /** Bytes of one answer that may wait for a slow caller. @default 262144 */
        waitingBytes: z.int().min(1_024).default(262_144),
        /** Milliseconds for a caller to send a whole request. @default 30000 */
        receiveTimeout: z.int().min(100).default(30_000),
        /** Milliseconds that a caller may stop reading before its request is cancelled. @default 20000 */
        stalledReader: z.int().min(100).default(20_000),
    }).prefault({}),
});

/** Any settings file. */
export const settingsSchema = z.discriminatedUnion("role", [controlSettingsSchema, entrySettingsSchema]);

/** An IP number and a port. */
export type Address = z.infer<typeof address>;
/** Resolved settings of a control daemon. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
/** Resolved settings of an entry daemon. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Resolved settings of any daemon. */
export type Settings = z.infer<typeof settingsSchema>;
