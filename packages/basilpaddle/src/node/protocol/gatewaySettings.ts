import { z } from "zod";
import { logLevels } from "../utils/index.js";
import { answerBoundsSchema } from "./answerBounds.js";
import { connectionBoundsSchema } from "./connectionBounds.js";
import { quarantineRulesSchema } from "./crash.js";

const endpoint = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, "an endpoint has the form IP:PORT").transform(text => {
    const [host, port] = text.split(":") as [string, string];
    return { host, port: Number(port) };
});
const milliseconds = z.number().positive();
const millisecondsInSecond = 1_000;
/** Part of `heldBytes` that is reserved for small bodies. */
export const smallBodiesFraction = 0.25;

/** The least `heldBytes` at which a body of that many bytes has room beside the part for small ones. */
export function minHeldBytes(largest: number): number {
    return Math.ceil(largest / (1 - smallBodiesFraction));
}

/** Bytes of the largest configuration. */
export const maxDocumentBytes = 8 * 1024 * 1024;
/** What is held for a body in blocks, over its bytes. */
const blocksOverhead = 1.25;
/** The least `heldBytes` of a directory. */
export const minDirectoryHeldBytes = minHeldBytes(maxDocumentBytes * blocksOverhead);

/** Given in seconds for readability and converted to milliseconds. */
const seconds = z.number().positive().transform(value => value * millisecondsInSecond);

const commonFields = {
    /** Name of the daemon, unique in the deployment. */
    name: z.string().min(1),
    /** Failure domain of the host. */
    failureDomain: z.string().min(1),
    /** Address at which other daemons reach the host. */
    host: z.ipv4(),
    /**
     * Local address that this daemon listens on and connects from, if other daemons reach it at a different one, for
     * example behind a relay or network address translation. @default host
     */
    bindHost: z.ipv4().optional(),
    /** Port for framed TCP between daemons; identical on all hosts. */
    peerPort: z.int().min(1).max(65_535),
    /** Directories for the initial discovery. Only their hosts are used: other daemons connect to them on `peerPort`. */
    seeds: z.array(endpoint).max(9),
    /** Port of the metrics endpoint on the host's address; with 0 the operating system chooses a free port. */
    metricsPort: z.int().min(0).max(65_535),
    log: z.strictObject({ level: z.enum(logLevels).default("info") }).prefault({}),
    /** When a request is quarantined because backend servers crashed while running it. */
    holds: quarantineRulesSchema.prefault({}),
    /** Bounds of what backend servers send. */
    answers: answerBoundsSchema.prefault({}),
    /** Bounds of what the connections to its listeners make it hold. */
    connections: connectionBoundsSchema.prefault({}),
};

/** Retry budget over all gateways: `ratio` of the requests plus `slack` retries in each window (seconds). */
const retryBudgetSchema = z.object({ ratio: z.number().min(0), window: seconds, slack: z.number().min(0) });

/** Share of placements that each waiting lower priority gets at least, if the settings state none. */
export const defaultShortageFloor = 0.1;

/** Placement while requests of several priorities wait for the engines of one service. */
const shortageSchema = z.strictObject({
    /**
     * Share of placements that each waiting priority below the highest one gets at least, and of an organisation's rate that its
     * lower priorities share; with 0 they may get none.
     */
    floor: z.number().min(0).max(0.5).default(defaultShortageFloor),
});

/** Placement of runs by the leader. */
const placementSchema = z.strictObject({
    /** Whether engines whose observed speeds differ by 1.5 times or more get runs by their speed; else all count as equal. */
    bySpeed: z.boolean().default(false),
});

/** Settings of a gateway, which serves callers' requests and has no durable state. */
export const gatewaySettingsSchema = z.object({
    role: z.literal("gateway"),
    ...commonFields,
    /** HTTP address for callers. */
    callers: endpoint,
    /** Address of the readiness endpoint that the load balancer polls. */
    readiness: endpoint,
    /**
     * Port on the host's address at which this gateway relays for others that reach no backend server themselves; with 0 the
     * operating system chooses a free port. @default it doesn't relay, and no gateway relays for it
     */
    relayPort: z.int().min(0).max(65_535).optional(),
    /** Bytes of all bodies that are kept at the same time. @default a tenth of the heap's limit, and at least room for `answers.bodyBytes` */
    heldBytes: z.int().positive().optional(),
    repeats: retryBudgetSchema,
    /** The same as in directories' settings; for local placement. */
    shortage: shortageSchema.prefault({}),
    /** Time in seconds for finishing requests in progress after the daemon received a stop signal. */
    shutdownTime: seconds,
}).refine(({ heldBytes, answers }) => heldBytes === undefined || heldBytes >= minHeldBytes(answers.bodyBytes), {
    path: ["heldBytes"],
    error: "must be at least four thirds of answers.bodyBytes, so that one answer always has room",
});

/** Settings of a directory, which stores the configuration, receives heartbeats of backend servers and places runs. */
export const directorySettingsSchema = z.object({
    role: z.literal("directory"),
    ...commonFields,
    /** HTTP address for operators and backend servers. */
    calls: endpoint,
    /**
     * Bytes of all bodies of calls together; a quarter is for calls other than configurations.
     * @default a tenth of the heap's limit, and at least room for the largest configuration
     */
    heldBytes: z.int().min(minDirectoryHeldBytes).optional(),
    /** Folder for all durable state. */
    dataFolder: z.string().min(1),
    /** Whether the whole deployment starts for the first time, with empty disks. Only then do the seeds form a new group. */
    firstStart: z.boolean(),
    /** Number of hosts with a disk whose simultaneous loss must be tolerated. */
    tolerated: z.int().min(0).max(4),
    /** Heartbeat interval of backend servers. */
    heartbeat: milliseconds,
    /**
     * How long a new leader waits before its first order, plus a margin for clock differences: the previous leader may still
     * believe that it may send orders. The first leader of a first start doesn't wait.
     */
    orderLease: milliseconds,
    /** The same as in gateways' settings. The leader lends a part of the slack to gateways. @default nothing is lent */
    repeats: retryBudgetSchema.optional(),
    /** How the leader places runs while requests of several priorities wait. */
    shortage: shortageSchema.prefault({}),
    placement: placementSchema.prefault({}),
    /** Time in seconds for finishing requests in progress after the daemon received a stop signal. */
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

/** Names of the seed directories in the settings. */
export function seedNames(settings: RoutingSettings): string[] {
    return settings.seeds.map(seed => `${seed.host}:${settings.peerPort}`);
}
