import { z } from "zod";
import { type Change, changeSchema } from "../protocol/index.js";

/** Schema of one accepted configuration. */
export const historyEntrySchema = z.object({
    revision: z.int(),
    index: z.int(),
    at: z.int(),
    changeId: z.string(),
    operator: z.string(),
    note: z.string(),
    /** The files that it was merged from; empty in older entries whose text was dropped to stay within the limit. */
    files: changeSchema.shape.files,
});

/** One accepted configuration. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>;

/** Maximum number of entries kept. */
export const historyEntryLimit = 2_000;
/** Maximum total of file names and texts over all entries, in characters. The newest entry always keeps its files. */
export const historyTextLimitCharacters = 2 * 1024 * 1024;

/** Bounded list of the accepted configurations, oldest first. */
export class History {
    private constructor(private entries: HistoryEntry[]) {}

    static create(entries: readonly HistoryEntry[] = []): History {
        return new History([...entries]);
    }

    /** Appends an accepted change and evicts what exceeds the limits. */
    append(revision: number, index: number, at: number, change: Change): void {
        const { changeId, operator, note, files } = change;
        this.entries.push({ revision, index, at, changeId, operator, note, files });
        this.entries = withinTextLimit(this.entries.slice(-historyEntryLimit));
    }

    /** All entries, oldest first. */
    list(): readonly HistoryEntry[] {
        return this.entries;
    }
}

function withinTextLimit(entries: readonly HistoryEntry[]): HistoryEntry[] {
    let remaining = historyTextLimitCharacters;
    return entries.toReversed().map((entry, age) => {
        remaining -= entry.files.reduce((sum, file) => sum + file.name.length + file.text.length, 0);
        return remaining >= 0 || age === 0 || entry.files.length === 0 ? entry : { ...entry, files: [] };
    }).toReversed();
}
