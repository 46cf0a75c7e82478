import { z } from "zod";

/** Schema of the result of one test, or of a hook that failed. */
export const testResultSchema = z.object({
    /** Path relative to the root of the repository. */
    file: z.string(),
    title: z.string(),
    /** Message and stack; absent if the test passed. */
    failure: z.string().optional(),
});

/** Result of one test, or of a hook that failed. */
export type TestResult = z.infer<typeof testResultSchema>;

/** A test that is known to fail. `failsWith` is a part of the known failure's text, which distinguishes it from other failures. */
export type KnownFailure = { readonly file: string; readonly title: string; readonly failsWith: string | undefined; };

/** Results of a test run, compared with the list of known failures. */
export type ClassifiedResults = {
    /** Failures of tests that aren't listed, and failures of listed tests with another text than the listed one. */
    readonly unexpected: readonly TestResult[];
    readonly known: readonly TestResult[];
    /** Listed tests that passed. */
    readonly nowPassing: readonly KnownFailure[];
    /** Listed tests that didn't run. */
    readonly notRun: readonly KnownFailure[];
};

const entryLine = /^(\S+) "(.+)"$/;
const failureLine = /^\s+fails with: (.+)$/;

/** Parses KNOWN-RED.txt. An entry begins with a file and a title; its line `fails with:` contains a part of the failure's text. */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
    const entries: KnownFailure[] = [];
    for (const line of text.split("\n")) {
        const entry = entryLine.exec(line) ?? undefined;
        const failure = failureLine.exec(line) ?? undefined;
        if (entry !== undefined) {
            entries.push({ file: entry[1]!, title: entry[2]!, failsWith: undefined });
        }
        else if (failure !== undefined && entries.length > 0) {
            entries.push({ ...entries.pop()!, failsWith: failure[1]!.trim() });
        }
    }
    return entries;
}

/** Separates known failures from unexpected ones, and finds listed tests that passed or didn't run. */
export function classifyResults(results: readonly TestResult[], listed: readonly KnownFailure[]): ClassifiedResults {
    const isKnown = ({ file, title, failure = "" }: TestResult): boolean =>
        listed.some(entry =>
            entry.file === file && entry.title === title && entry.failsWith !== undefined
            && failure.includes(entry.failsWith)
        );
    const failed = results.filter(({ failure }) => failure !== undefined);
    const resultOf = (entry: KnownFailure): TestResult | undefined =>
        results.find(({ file, title }) => file === entry.file && title === entry.title);
    return {
        unexpected: failed.filter(result => !isKnown(result)),
        known: failed.filter(isKnown),
        nowPassing: listed.filter(entry => resultOf(entry) !== undefined && resultOf(entry)?.failure === undefined),
        notRun: listed.filter(entry => resultOf(entry) === undefined),
    };
}
