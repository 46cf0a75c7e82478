import { z } from "zod";

/** A validation error in a configuration or settings file, with its location. */
export const findingSchema = z.object({
    /** File name as the user gave it. */
    file: z.string(),
    /** The path of the field within the file, such as `pools.drafting.floor`; empty for the file as a whole. */
    place: z.string(),
    cause: z.string(),
    /** How to correct it. */
    cure: z.string().optional(),
});

/** A validation error in a configuration or settings file, with its location. */
export type Finding = z.infer<typeof findingSchema>;

/** Formats a finding as one human-readable line. */
export function formatFinding(finding: Finding): string {
    const place = finding.place === "" ? finding.file : `${finding.file}: ${finding.place}`;
    const cure = finding.cure === undefined ? "" : ` (${finding.cure})`;
    return `${place}: ${finding.cause}${cure}`;
}

/** Converts the issues of a failed schema validation to findings of the given file. */
export function findingsFromZodError(file: string, error: z.ZodError): readonly Finding[] {
    return error.issues.map(issue => ({ file, place: issue.path.join("."), cause: issue.message }));
}
