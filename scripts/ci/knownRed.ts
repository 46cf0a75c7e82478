import { z } from "zod";

/** What became of one test, or of a hook that failed. */
export const testResultSchema = z.object({
    /** Path from the root of the repository. */
    file: z.string(),
    title: z.string(),
    /** Message and stack; left out where it passed. */
    failure: z.string().optional(),
});

/** What became of one test. */
export type TestResult = z.infer<typeof testResultSchema>;

/** A test that is known to fail, and the text by which its known failure is told from any other. */
export type KnownRed = { readonly file: string; readonly title: string; readonly failsWith: string | undefined; };

/** What a run is worth, given what was known to fail. */
export type Judgement = {
    /** Failures that nobody knew, and failures of known tests over something else. */
    readonly unknown: readonly TestResult[];
    readonly passedOver: readonly TestResult[];
    /** Tests of the list that passed. */
    readonly nowGreen: readonly KnownRed[];
    /** Tests of the list that didn't run. */
    readonly missing: readonly KnownRed[];
};

const entryLine = /^(\S+) "(.+)"$/;
const failureLine = /^\s+fails with: (.+)$/;

/** Reads the list: an entry begins with a file and a title; its line `fails with:` names a part of the failure. */
export function readKnownRed(text: string): readonly KnownRed[] {
    const entries: KnownRed[] = [];
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

/** Tells the failures that are known from all others. */
export function judge(results: readonly TestResult[], known: readonly KnownRed[]): Judgement {
    const isKnown = ({ file, title, failure = "" }: TestResult): boolean =>
        known.some(entry =>
            entry.file === file && entry.title === title && entry.failsWith !== undefined
            && failure.includes(entry.failsWith)
        );
    const failed = results.filter(({ failure }) => failure !== undefined);
    const resultOf = (entry: KnownRed): TestResult | undefined =>
        results.find(({ file, title }) => file === entry.file && title === entry.title);
    return {
        unknown: failed.filter(result => !isKnown(result)),
        passedOver: failed.filter(isKnown),
        nowGreen: known.filter(entry => resultOf(entry) !== undefined && resultOf(entry)?.failure === undefined),
        missing: known.filter(entry => resultOf(entry) === undefined),
    };
}
