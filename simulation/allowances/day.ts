import { z } from "zod";

/** A day of organisations that send requests through gateways to one leader. */
export const allowanceDaySchema = z.object({
    gateways: z.int().min(1),
    organisations: z.int().min(1),
    /** Requests per second of all organisations together. */
    requestRate: z.number().positive(),
    /** Mean units that a request costs; costs are distributed log-normally. */
    meanCost: z.number().positive(),
    costSpread: z.number().min(0),
    /** The organisation with rank n sends a fraction of all requests proportional to 1/n to this power. */
    sizeExponent: z.number().min(0),
    /** Rate and burst of an allowance, as multiples of the organisation's usual units per second. */
    rateFactor: z.number().positive(),
    burstSeconds: z.number().min(0),
    /** Seconds that the day lasts. */
    length: z.number().positive(),
    /** Whether all callers of an organisation come in at one gateway. */
    oneGateway: z.boolean(),
    /** The n-th gateway receives a fraction of the requests proportional to 1/n to this power. @default all the same */
    gatewayExponent: z.number().min(0).optional(),
    /** Every organisation sends this many times its usual. */
    burst: z.object({ from: z.number(), until: z.number(), factor: z.number() }).optional(),
    /** One organisation, by its rank, sends this many times its usual. */
    busy: z.object({ rank: z.int().min(1), from: z.number(), until: z.number(), factor: z.number() }).optional(),
    /** Fraction of the requests of each priority, the highest first, and whether charges name it; without, all have one. */
    priorities: z.object({ shares: z.array(z.number().min(0)).min(1).max(10), named: z.boolean() }).optional(),
    /** Each time the leader is lost, and another one starts without its memory at the end. */
    leaderLost: z.array(z.object({ from: z.number(), until: z.number() })).optional(),
    /** The leader stops for a part of each period, in milliseconds, and then handles what has arrived. */
    leaderLate: z.object({ from: z.number(), until: z.number(), period: z.number(), stopped: z.number() }).optional(),
    /** This fraction of the gateways doesn't reach the leader. */
    cutOff: z.object({ fraction: z.number(), from: z.number(), until: z.number() }).optional(),
});

/** A day of organisations that send requests through gateways to one leader. */
export type AllowanceDay = z.infer<typeof allowanceDaySchema>;

const pool = {
    gateways: 63,
    organisations: 16,
    requestRate: 35,
    meanCost: 5_270,
    costSpread: 0.5,
    sizeExponent: 1,
    rateFactor: 2.5,
    burstSeconds: 1,
    length: 30,
    oneGateway: false,
} as const;
/** Few gateways, whose shares are many requests. */
const fewGateways = { ...pool, gateways: 12, requestRate: 200, meanCost: 1_000 } as const;
const lostTwice = [{ from: 11, until: 12.5 }, { from: 15, until: 16.5 }];
const priorities = { shares: [0.25, 0.35, 0.4], named: true };
const busy = { rank: 3, from: 8, until: 20, factor: 7.5 } as const;

/** Bundled days by name. */
export const allowanceDays: Readonly<Record<string, AllowanceDay>> = {
    "calm": pool,
    "burst": { ...pool, burst: { from: 10, until: 14, factor: 2.2 } },
    "busy": { ...pool, busy },
    "busy, one gateway": { ...pool, busy, oneGateway: true },
    "busy, leader lost": { ...pool, busy, leaderLost: [{ from: 11, until: 15 }] },
    "busy, leader lost twice": { ...pool, busy, leaderLost: lostTwice },
    "12 gateways, busy, leader lost twice": { ...fewGateways, busy, leaderLost: lostTwice },
    "12 gateways, leader lost twice as it gets busy": {
        ...fewGateways,
        busy: { ...busy, from: 12.5 },
        burstSeconds: 4,
        leaderLost: lostTwice,
    },
    "12 gateways, busy, leader late": {
        ...fewGateways,
        busy,
        leaderLate: { from: 10, until: 19, period: 950, stopped: 450 },
    },
    "12 gateways, half cut off as it gets busy": {
        ...fewGateways,
        busy: { ...busy, from: 10 },
        cutOff: { fraction: 0.5, from: 9, until: 17 },
    },
    "12 gateways, half cut off, leader lost": {
        ...fewGateways,
        busy,
        cutOff: { fraction: 0.5, from: 10, until: 18 },
        leaderLost: [{ from: 12, until: 13.5 }],
    },
    "12 gateways, half cut off, leader late": {
        ...fewGateways,
        busy,
        cutOff: { fraction: 0.5, from: 10, until: 18 },
        leaderLate: { from: 11, until: 19, period: 950, stopped: 450 },
    },
    "12 gateways, leader late, leader lost": {
        ...fewGateways,
        busy,
        leaderLate: { from: 10, until: 19, period: 950, stopped: 450 },
        leaderLost: [{ from: 13, until: 14 }],
    },
    "12 gateways, leader lost five times": {
        ...fewGateways,
        busy,
        leaderLost: [10, 11.5, 13, 14.5, 16].map(from => ({ from, until: from + 0.5 })),
    },
    "12 gateways, half cut off, burst of 4 s": {
        ...fewGateways,
        busy: { ...busy, from: 9 },
        burstSeconds: 4,
        cutOff: { fraction: 0.5, from: 9, until: 17 },
    },
    "busy, leader late": { ...pool, busy, leaderLate: { from: 10, until: 19, period: 950, stopped: 450 } },
    "busy, half cut off": { ...pool, busy, cutOff: { fraction: 0.5, from: 9, until: 17 } },
    "busy, cut off": { ...pool, busy, cutOff: { fraction: 0.2, from: 10, until: 18 } },
    "busy, priorities unnamed": { ...pool, busy, priorities: { ...priorities, named: false } },
    "busy, priorities": { ...pool, busy, priorities },
    "busy, unnamed, leader lost": {
        ...pool,
        busy,
        priorities: { ...priorities, named: false },
        leaderLost: [{ from: 11, until: 15 }],
    },
    "busy, named, leader lost": { ...pool, busy, priorities, leaderLost: [{ from: 11, until: 15 }] },
    "calm, priorities unnamed": { ...pool, priorities: { ...priorities, named: false } },
    "calm, priorities": { ...pool, priorities },
    "calm, leader lost": { ...pool, leaderLost: [{ from: 11, until: 15 }] },
    "360 gateways, busy": { ...pool, gateways: 360, requestRate: 200, busy },
    "24,000 organisations": { ...pool, gateways: 360, organisations: 24_000, requestRate: 400, length: 15 },
};
