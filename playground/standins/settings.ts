import { z } from "zod";

const milliseconds = z.number().min(0);

/** Host on which a stand-in listens; the system chooses the port. */
const host = z.string().default("127.0.0.1");

/** Settings of a fake engine. */
export const fakeEngineSettingsSchema = z.strictObject({
    id: z.string(),
    /** The start time if omitted. */
    incarnation: z.int().min(0).optional(),
    host,
    failureDomain: z.string().default("local"),
    role: z.enum(["prefill", "decode"]),
    pool: z.string(),
    models: z.array(z.object({ name: z.string(), version: z.string(), adapters: z.array(z.string()).default([]) }))
        .default([]),
    slots: z.int().min(1).default(20),
    /** Milliseconds for each prompt token, and between two tokens of each answer. */
    promptTokenTime: milliseconds.default(0.25),
    tokenTime: milliseconds.default(20),
    /** Milliseconds after which a prefill result is evicted. */
    evictAfter: milliseconds.default(800),
    /** Bytes per second for all KV cache imports of the engine together; bytes of KV cache per prompt token. */
    linkRate: z.number().positive().default(1e9),
    bytesPerToken: z.int().min(0).default(20_000),
    /** Capacity of the prefix cache in blocks. */
    cacheBlocks: z.int().min(0).default(2_000),
    /** Milliseconds by which cache events are delayed, and the fraction of them that is lost. */
    cacheEventLag: milliseconds.default(300),
    cacheEventLoss: z.number().min(0).max(1).default(0),
    /** Milliseconds by which load reports lag behind the load. */
    loadLag: milliseconds.default(200),
    checksFence: z.boolean().default(true),
    /** Text in a prompt that crashes the engine as soon as it starts to decode. */
    diesUnder: z.string().min(1).optional(),
    resume: z.boolean().default(true),
    changesRole: z.boolean().default(true),
    orderLatency: milliseconds.default(20),
    /** Base URL of the weight store from which models are loaded; if omitted, loads take no time. */
    weightStore: z.string().optional(),
    weightBytes: z.int().min(0).default(50_000_000),
    /** The URL to announce if it isn't the engine's own, as with a relay in front of it. */
    announcedUrl: z.string().optional(),
    /** `host:port` at which entry daemons listen for backend servers. Nothing is announced if there are none. */
    listeners: z.array(z.string()).default([]),
    /** Seed for the choice of a listener for each message, and of the cache events that are lost. */
    seed: z.int().default(1),
});

/** Settings of a fake plain service. */
export const fakeServiceSettingsSchema = z.strictObject({
    id: z.string(),
    incarnation: z.int().min(0).optional(),
    host,
    failureDomain: z.string().default("local"),
    service: z.string(),
    /** Milliseconds per call. */
    callTime: milliseconds.default(2),
    listeners: z.array(z.string()).default([]),
    seed: z.int().default(1),
});

/** Settings of a fake weight store. */
export const fakeWeightStoreSettingsSchema = z.strictObject({
    host,
    /** Bytes per second for all loads together. */
    rate: z.number().positive().default(50_000_000),
});

/** A fault to inject, into all calls or into those of one path. */
export const faultSchema = z.strictObject({
    kind: z.enum(["die", "hang", "reset", "dropCancel", "slow", "refuse", "plain503", "garbage"]),
    /** Last part of the path, such as `prefill`; if omitted, any call except those with which tests inspect the stand-in. */
    path: z.string().optional(),
    /** Number of calls that are affected; all if omitted. */
    count: z.int().min(1).optional(),
    /** For decode streams: number of tokens after which the fault takes effect. */
    afterTokens: z.int().min(0).optional(),
    /** For `slow`: factor by which all processing times are multiplied. */
    factor: z.number().positive().default(10),
});

/** Settings of a fake engine, resolved. */
export type FakeEngineSettings = z.infer<typeof fakeEngineSettingsSchema>;
/** Settings of a fake plain service, resolved. */
export type FakeServiceSettings = z.infer<typeof fakeServiceSettingsSchema>;
/** Settings of a fake weight store, resolved. */
export type FakeWeightStoreSettings = z.infer<typeof fakeWeightStoreSettingsSchema>;
/** A fault to inject. */
export type Fault = z.infer<typeof faultSchema>;
