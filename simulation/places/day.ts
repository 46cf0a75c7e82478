import { readdirSync } from "node:fs";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import type { Either } from "purify-ts";
import { z } from "zod";
import type { Finding } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { readCheckedFile } from "../checkedFile.js";

/** Days that come with the project. */
const daysFolder = fileURLToPath(new URL("./days/", import.meta.url));

const milliseconds = z.number().min(0);
const part = z.number().min(0).max(1);

/** Times of an engine, as its makers publish them. */
export const engineFiguresSchema = z.strictObject({
    /** Milliseconds of one step, and what each run in it adds. */
    step: z.number().positive(),
    stepPerRun: milliseconds,
    /** Prompt tokens that are read in a millisecond by an engine that only reads. */
    promptTokensPerMillisecond: z.number().positive(),
    /** Milliseconds that a reading takes beside its tokens. */
    readingOverhead: milliseconds,
    /** Tokens that one event of an answer holds. */
    eventTokens: z.int().positive(),
    cacheTokens: z.int().positive(),
    slots: z.int().positive(),
    /** Milliseconds for which the result of a reading is kept. */
    handleLife: milliseconds,
});

/** A pool of engines. */
export const poolSchema = z.strictObject({
    prefill: z.int().positive(),
    decode: z.int().positive(),
    figures: engineFiguresSchema,
    /** How many times longer each third engine takes: one pool's hosts differ. */
    slowThird: z.number().min(1),
    /** Gateways that place alone, each within its part of every engine. @default a leader places for all */
    gateways: z.int().positive().optional(),
});

/** Requests of one pool, as its operators describe them. */
export const workloadSchema = z.strictObject({
    /** Usual requests a second. */
    rate: z.number().positive(),
    /** Milliseconds of the whole. */
    length: milliseconds,
    /** Spans in which requests come at so many times the usual rate. */
    bursts: z.array(z.strictObject({ at: milliseconds, lasts: milliseconds, times: z.number().positive() })),
    /** Mean tokens of a prompt, and the spread of its logarithm. */
    promptTokens: z.number().positive(),
    promptSpread: z.number().min(0),
    mostPromptTokens: z.int().positive(),
    /** Requests of another kind among them, whose prompts are longer. @default none */
    longPrompts: z.strictObject({ part, tokens: z.number().positive() }).optional(),
    /** Mean tokens of an answer, and the spread of its logarithm. */
    answerTokens: z.number().positive(),
    answerSpread: z.number().min(0),
    mostAnswerTokens: z.int().positive(),
    /** Spread of the logarithm of the callers' guess of their answers' tokens. */
    guessSpread: z.number().min(0),
    /** Milliseconds from the first attempt to the first event that are in time. */
    target: z.number().positive(),
});

const span = { at: milliseconds, lasts: milliseconds, part };

/** What befalls a part of the engines, drawn by the day's seed. */
export const engineFaultSchema = z.discriminatedUnion("kind", [
    /** They end at once and lose what they hold; others come in their place after a while. */
    z.strictObject({ kind: z.literal("crash"), ...span }),
    /** They take so many times longer. */
    z.strictObject({ kind: z.literal("slow"), ...span, times: z.number().min(1) }),
]);

/** A day: a pool, its requests, and what goes wrong. */
export const daySchema = z.strictObject({
    /** What the day is for. */
    about: z.string(),
    pool: poolSchema,
    workload: workloadSchema,
    faults: z.array(engineFaultSchema).default([]),
});

/** Times of an engine. */
export type EngineFigures = z.infer<typeof engineFiguresSchema>;
/** A pool of engines. */
export type EmulatedPool = z.infer<typeof poolSchema>;
/** Requests of one pool. */
export type Workload = z.infer<typeof workloadSchema>;
/** What befalls a part of the engines. */
export type EngineFault = z.infer<typeof engineFaultSchema>;
/** A day: a pool, its requests, and what goes wrong. */
export type Day = z.infer<typeof daySchema>;

/** Reads a day from a file; gives all that is wrong with it. */
export function readDay(file: string): Either<readonly Finding[], Day> {
    return readCheckedFile(file, daySchema);
}

/** Names of the days that come with the project. */
export function dayNames(): readonly string[] {
    return readdirSync(daysFolder).filter(name => name.endsWith(".json")).map(name => path.basename(name, ".json"));
}

/** The file of a day: one of the project's by its name, else a path. */
export function dayFile(name: string): string {
    return dayNames().includes(name) ? path.join(daysFolder, `${name}.json`) : name;
}

/** A day that comes with the project; one that is damaged is a fault of the program. */
export function ownDay(name: string): Day {
    return readDay(dayFile(name)).caseOf({
        Left: findings => {
            throw new Error(
                `the day ${name} is damaged: ${findings.map(({ place, cause }) => `${place} ${cause}`).join("; ")}`,
            );
        },
        Right: day => day,
    });
}
