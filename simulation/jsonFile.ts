import { readFileSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { type Finding, findingsFromZodError } from "../packages/basilpaddle/src/node/protocol/index.js";

/** Reads a JSON file and validates it against a schema; returns all findings if the file is unreadable or invalid. */
export function readJsonFile<T>(file: string, schema: z.ZodType<T>): Either<readonly Finding[], T> {
    let content: unknown;
    try {
        content = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Left([{ file, place: "", cause: `can't be read: ${(error as Error).message}` }]);
    }
    const parsed = schema.safeParse(content);
    return parsed.success ? Right(parsed.data) : Left(findingsFromZodError(file, parsed.error));
}
