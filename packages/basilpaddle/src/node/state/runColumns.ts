import { z } from "zod";
import { incarnationSchema, storedAnswerSchema } from "../protocol/index.js";
import type { Run } from "./runs.js";

/** Entries of `numbers` per record: lengths of key, digest and token, and positions of owner and state. */
const numbersPerRecord = 5;
/** Entries of `places` per record: `startedAt`, `sinceIndex` and `endedIndex`. */
const placesPerRecord = 3;
/** Stored in place of `endedIndex` in a record without one. */
const noEndIndex = -1;

/**
 * Schema of run records in a snapshot, stored by column. Encoding 40,000 records as one object each blocks the process
 * long enough for its followers to miss heartbeats; encoding a few long columns takes a fraction of that time.
 */
export const runColumnsSchema = z.object({
    /** Key, digest and token of all records, concatenated. */
    text: z.string(),
    numbers: z.instanceof(Uint32Array),
    places: z.instanceof(Float64Array),
    owners: z.array(incarnationSchema),
    states: z.array(z.string()),
    /** Fields that few records have (`answers` and `releases`), each with the position of its record. */
    answers: z.array(z.tuple([z.int(), storedAnswerSchema])),
    releases: z.array(z.tuple([z.int(), z.array(z.string())])),
});

/** Run records in a snapshot, stored by column. */
export type RunColumns = z.infer<typeof runColumnsSchema>;

/** Distinct values in the order of their first occurrence. */
class DistinctValues<Value> {
    readonly values: Value[] = [];
    private readonly positions = new Map<string, number>();

    position(key: string, value: Value): number {
        const existing = this.positions.get(key);
        if (existing !== undefined) {
            return existing;
        }
        this.positions.set(key, this.values.length);
        return this.values.push(value) - 1;
    }
}

/** Converts records to columns. */
export function toColumns(runs: readonly Run[]): RunColumns {
    const owners = new DistinctValues<Run["owner"]>();
    const states = new DistinctValues<string>();
    const numbers = new Uint32Array(runs.length * numbersPerRecord);
    const places = new Float64Array(runs.length * placesPerRecord);
    const parts: string[] = [];
    const answers: RunColumns["answers"] = [];
    const releases: RunColumns["releases"] = [];
    runs.forEach((run, position) => {
        const { key, digest, token, owner, state } = run;
        parts.push(key, digest, token);
        const numbersOffset = position * numbersPerRecord;
        numbers[numbersOffset] = key.length;
        numbers[numbersOffset + 1] = digest.length;
        numbers[numbersOffset + 2] = token.length;
        numbers[numbersOffset + 3] = owners.position(
            `${owner.daemon.length} ${owner.daemon}${owner.incarnation}`,
            owner,
        );
        numbers[numbersOffset + 4] = states.position(state, state);
        const placesOffset = position * placesPerRecord;
        places[placesOffset] = run.startedAt;
        places[placesOffset + 1] = run.sinceIndex;
        places[placesOffset + 2] = run.endedIndex ?? noEndIndex;
        if (run.answer !== undefined) {
            answers.push([position, run.answer]);
        }
        if (run.releasedTokens.length > 0) {
            releases.push([position, run.releasedTokens]);
        }
    });
    return { text: parts.join(""), numbers, places, owners: owners.values, states: states.values, answers, releases };
}

/** Converts columns to records; the caller has to validate them. */
export function fromColumns(columns: RunColumns): unknown[] {
    const { text, numbers, places, owners, states } = columns;
    const answers = new Map(columns.answers);
    const releases = new Map(columns.releases);
    let offset = 0;
    const readText = (length: number | undefined): string => text.slice(offset, offset += length ?? 0);
    return Array.from({ length: numbers.length / numbersPerRecord }, (_, position) => {
        const numbersOffset = position * numbersPerRecord;
        const placesOffset = position * placesPerRecord;
        const endedIndex = places[placesOffset + 2];
        return {
            key: readText(numbers[numbersOffset]),
            digest: readText(numbers[numbersOffset + 1]),
            token: readText(numbers[numbersOffset + 2]),
            owner: owners[numbers[numbersOffset + 3]!],
            state: states[numbers[numbersOffset + 4]!],
            startedAt: places[placesOffset],
            sinceIndex: places[placesOffset + 1],
            releasedTokens: releases.get(position) ?? [],
            ...(endedIndex === noEndIndex ? {} : { endedIndex }),
            ...(answers.has(position) ? { answer: answers.get(position) } : {}),
        };
    });
}
