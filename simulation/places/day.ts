import { readdirSync } from "node:fs";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import type { Either } from "purify-ts";
import { z } from "zod";
import type { Finding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { readJsonFile } from "../jsonFile.js";

/** Directory of the days that are bundled with the project. */
const bundledDaysDirectory = fileURLToPath(new URL("./days/", import.meta.url));

const milliseconds = z.number().min(0);
const part = z.number().min(0).max(1);

/** Performance figures of an engine, as its vendor publishes them. */
export const engineFiguresSchema = z.strictObject({
    /** Milliseconds of one decode step, and the additional milliseconds for each run in the batch. */
    step: z.number().positive(),
    stepPerRun: milliseconds,
    /** Prompt tokens that a dedicated prefill engine processes in a millisecond. */
    promptTokensPerMillisecond: z.number().positive(),
    /** Fixed milliseconds of a prefill, independent of its tokens. */
    readingOverhead: milliseconds,
    /** Tokens in one event of an answer's stream. */
    eventTokens: z.int().positive(),
    cacheTokens: z.int().positive(),
    slots: z.int().positive(),
    /** Milliseconds for which the result of a prefill is kept. */
    handleLife: milliseconds,
});

/** A pool of engines. */
export const poolSchema = z.strictObject({
    prefill: z.int().positive(),
    decode: z.int().positive(),
    figures: engineFiguresSchema,
    /** Slowdown factor of every third engine, as the hosts of one pool differ. */
    slowThird: z.number().min(1),
    /** Speeds of the engines, by turns; they multiply those of `slowThird`. @default all 1 */
    speeds: z.array(z.number().positive()).min(1).optional(),
    /** Gateways that decide locally, each within its share of every engine. @default a leader decides for all */
    gateways: z.int().positive().optional(),
});

/** Distribution of the requests of one pool, as its operators describe it. */
export const workloadSchema = z.strictObject({
    /** Requests per second outside of bursts. */
    rate: z.number().positive(),
    /** Duration of the day in milliseconds. */
    length: milliseconds,
    /** Intervals in which the request rate is multiplied by `times`. */
    bursts: z.array(z.strictObject({ at: milliseconds, lasts: milliseconds, times: z.number().positive() })),
    /** Mean tokens of a prompt, and the standard deviation of their logarithm. */
    promptTokens: z.number().positive(),
    promptSpread: z.number().min(0),
    mostPromptTokens: z.int().positive(),
    /** A fraction of the requests that has longer prompts. @default none */
    longPrompts: z.strictObject({ part, tokens: z.number().positive() }).optional(),
    /** Mean tokens of an answer, and the standard deviation of their logarithm. */
    answerTokens: z.number().positive(),
    answerSpread: z.number().min(0),
    mostAnswerTokens: z.int().positive(),
    /** Standard deviation of the logarithm of the error in the callers' estimates of their answers' tokens. */
    guessSpread: z.number().min(0),
    /** Milliseconds from the first attempt within which the first event is in time. */
    target: z.number().positive(),
    /** Milliseconds between two events from which on the answer is late. @default no limit */
    gap: z.number().positive().optional(),
});

const span = { at: milliseconds, lasts: milliseconds, part };

/** A fault of a fraction of the engines, which are selected at random by the seed. */
export const engineFaultSchema = z.discriminatedUnion("kind", [
    /** They crash and lose their runs; replacements start after `lasts` milliseconds. */
    z.strictObject({ kind: z.literal("crash"), ...span }),
    /** They take `times` times as long. */
    z.strictObject({ kind: z.literal("slow"), ...span, times: z.number().min(1) }),
]);

/** A day: a pool, its requests, and the faults of its engines. */
export const daySchema = z.strictObject({
    /** Purpose of the day. */
    about: z.string(),
    pool: poolSchema,
    workload: workloadSchema,
    faults: z.array(engineFaultSchema).default([]),
});

/** Performance figures of an engine. */
export type EngineFigures = z.infer<typeof engineFiguresSchema>;
/** A pool of engines. */
export type EmulatedPool = z.infer<typeof poolSchema>;
/** Distribution of the requests of one pool. */
export type Workload = z.infer<typeof workloadSchema>;
/** A fault of a fraction of the engines. */
export type EngineFault = z.infer<typeof engineFaultSchema>;
/** A day: a pool, its requests, and the faults of its engines. */
export type Day = z.infer<typeof daySchema>;

/** Reads a day from a file; returns all findings if the file is invalid. */
export function readDay(file: string): Either<readonly Finding[], Day> {
    return readJsonFile(file, daySchema);
}

/** Names of the days that are bundled with the project. */
export function dayNames(): readonly string[] {
    return readdirSync(bundledDaysDirectory).filter(name => name.endsWith(".json")).map(name =>
        path.basename(name, ".json")
    );
}

/** The file of a day, given the name of a bundled day or a path. */
export function dayFile(name: string): string {
    return dayNames().includes(name) ? path.join(bundledDaysDirectory, `${name}.json`) : name;
}

/** Reads a bundled day. @throws Error if its file is invalid */
export function bundledDay(name: string): Day {
    return readDay(dayFile(name)).caseOf({
        Left: findings => {
            throw new Error(
                `the bundled day ${name} is invalid: ${
                    findings.map(({ place, cause }) => `${place} ${cause}`).join("; ")
                }`,
            );
        },
        Right: day => day,
    });
}
