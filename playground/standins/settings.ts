import { z } from "zod";

const milliseconds = z.number().min(0);

/** How a stand-in's address is chosen: the host is given, the port by the system. */
const host = z.string().default("127.0.0.1");

/** Settings of a fake engine. */
export const fakeEngineSettingsSchema = z.strictObject({
    id: z.string(),
    /** Taken from the time of the start when left out. */
    incarnation: z.int().min(0).optional(),
    host,
    failureDomain: z.string().default("local"),
    role: z.enum(["prefill", "decode"]),
    pool: z.string(),
    models: z.array(z.object({ name: z.string(), version: z.string(), adapters: z.array(z.string()).default([]) }))
        .default([]),
    slots: z.int().min(1).default(20),
    /** Milliseconds to compute one prompt token, and between two tokens of every answer. */
    promptTokenTime: milliseconds.default(0.25),
    tokenTime: milliseconds.default(20),
    /** A prefill's result is evicted after this long. */
    evictAfter: milliseconds.default(800),
    /** Bytes a second that an import gets, shared by all imports of the engine; bytes of KV cache for a prompt token. */
    linkRate: z.number().positive().default(1e9),
    bytesPerToken: z.int().min(0).default(20_000),
    /** Prefix blocks that fit into the cache. */
    cacheBlocks: z.int().min(0).default(2_000),
    /** Cache events come this much late, and this part of them gets lost. */
    cacheEventLag: milliseconds.default(300),
    cacheEventLoss: z.number().min(0).max(1).default(0),
    /** Load reports tell what was the case this long ago. */
    loadLag: milliseconds.default(200),
    checksFence: z.boolean().default(true),
    /** Text in a prompt under which it ends as soon as it begins to decode. */
    diesUnder: z.string().min(1).optional(),
    resume: z.boolean().default(true),
    changesRole: z.boolean().default(true),
    orderLatency: milliseconds.default(20),
    /** Where models are loaded from; at once when left out. */
    weightStore: z.string().optional(),
    weightBytes: z.int().min(0).default(50_000_000),
    /** The URL that it announces where that isn't its own, as with a relay before it. */
    announcedUrl: z.string().optional(),
    /** `host:port` of entry daemons' listeners for backend servers. Nothing is announced where there is none. */
    listeners: z.array(z.string()).default([]),
    /** Seed of what gets lost. */
    seed: z.int().default(1),
});

/** Settings of a fake plain service. */
export const fakeServiceSettingsSchema = z.strictObject({
    id: z.string(),
    incarnation: z.int().min(0).optional(),
    host,
    failureDomain: z.string().default("local"),
    service: z.string(),
    /** Milliseconds for one call. */
    callTime: milliseconds.default(2),
    listeners: z.array(z.string()).default([]),
    seed: z.int().default(1),
});

/** Settings of a fake weight store. */
export const fakeWeightStoreSettingsSchema = z.strictObject({
    host,
    /** Bytes a second for all loads together. */
    rate: z.number().positive().default(50_000_000),
});

/** What can be made to go wrong, for all calls or for those of one path. */
export const faultSchema = z.strictObject({
    kind: z.enum(["die", "hang", "reset", "dropCancel", "slow", "refuse", "plain503", "garbage"]),
    /** Last part of the path, such as `prefill`; any call of the wire when left out. */
    path: z.string().optional(),
    /** Calls that it strikes; all when left out. */
    count: z.int().min(1).optional(),
    /** On a decode stream: strikes after this many tokens. */
    afterTokens: z.int().min(0).optional(),
    /** With `slow`: times everything takes. */
    factor: z.number().positive().default(10),
});

/** Settings of a fake engine, resolved. */
export type FakeEngineSettings = z.infer<typeof fakeEngineSettingsSchema>;
/** Settings of a fake plain service, resolved. */
export type FakeServiceSettings = z.infer<typeof fakeServiceSettingsSchema>;
/** Settings of a fake weight store, resolved. */
export type FakeWeightStoreSettings = z.infer<typeof fakeWeightStoreSettingsSchema>;
/** Something that was made to go wrong. */
export type Fault = z.infer<typeof faultSchema>;
