import type { EngineFigures } from "./engines.js";
import type { EmulatedPool } from "./play.js";
import type { Workload } from "./workload.js";

const figures: EngineFigures = {
    step: 3.23,
    stepPerRun: 0.0483,
    promptTokensPerMillisecond: 100 / 3,
    readingOverhead: 10,
    eventTokens: 13,
    cacheTokens: 34_221,
    slots: 96,
    handleLife: 500,
};
const drafts = {
    promptTokens: 3_200,
    promptSpread: 0.5,
    mostPromptTokens: 6_800,
    answerTokens: 940,
    answerSpread: 0.7,
    mostAnswerTokens: 2_200,
    guessSpread: 0.5,
    target: 900,
};
const bursts = [{ at: 6_000, lasts: 5_000, times: 1.9 }, { at: 17_000, lasts: 4_000, times: 2 }];

/** A deployment's pool, with a day of two bursts. */
export type EmulatedDeployment = { readonly pool: EmulatedPool; readonly workload: Workload; };

type DeploymentName =
    | "celeste"
    | "hanbit"
    | "celesteGrown"
    | "hanbitGrown"
    | "celesteLarge"
    | "largeStrained"
    | "strained"
    | "alone";

const largePool: EmulatedPool = {
    prefill: 10,
    decode: 45,
    figures: { ...figures, cacheTokens: 27_704, slots: 24 },
    slowThird: 1,
};
const largeWorkload: Workload = {
    ...drafts,
    rate: 55,
    length: 34_000,
    bursts: [
        { at: 6_000, lasts: 5_000, times: 1.7 },
        { at: 17_000, lasts: 4_000, times: 2.2 },
        { at: 27_000, lasts: 4_000, times: 1.9 },
    ],
};

/** The users' deployments, by their pools' sizes and loads. */
export const deployments: Readonly<Record<DeploymentName, EmulatedDeployment>> = {
    celeste: {
        pool: { prefill: 3, decode: 10, figures, slowThird: 1.3 },
        workload: { ...drafts, rate: 12.7, length: 30_000, bursts },
    },
    hanbit: {
        pool: { prefill: 1, decode: 5, figures: { ...figures, cacheTokens: 43_020 }, slowThird: 1.3 },
        workload: { ...drafts, rate: 7.3, length: 30_000, bursts },
    },
    celesteGrown: {
        pool: {
            prefill: 14,
            decode: 64,
            figures: { ...figures, cacheTokens: 25_393, slots: 12 },
            slowThird: 1.3,
        },
        workload: { ...drafts, rate: 84, length: 30_000, bursts },
    },
    hanbitGrown: {
        pool: { prefill: 7, decode: 35, figures: { ...figures, cacheTokens: 24_612 }, slowThird: 1.3 },
        workload: { ...drafts, rate: 44, length: 30_000, bursts },
    },
    celesteLarge: { pool: largePool, workload: largeWorkload },
    // A quarter of the decode engines is missing, as after a rack has gone.
    largeStrained: { pool: { ...largePool, decode: 34 }, workload: largeWorkload },
    // A third of the engines is missing: what crashed or turned slow while the load rose.
    strained: {
        pool: { prefill: 5, decode: 24, figures: { ...figures, cacheTokens: 24_612 }, slowThird: 1.6 },
        workload: { ...drafts, rate: 44, length: 30_000, bursts },
    },
    // Gateways without a leader, at the usual load: each knows its own runs only.
    alone: {
        pool: {
            prefill: 7,
            decode: 35,
            figures: { ...figures, cacheTokens: 24_612 },
            slowThird: 1.3,
            gateways: 58,
        },
        workload: { ...drafts, rate: 44, length: 15_000, bursts: [] },
    },
};
