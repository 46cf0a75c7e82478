import { Encoder } from "cbor-x";
import { z } from "zod";
import { commandResultSchema, viewSchema } from "../protocol/index.js";
import { auditEntrySchema } from "./audit.js";
import { historyEntrySchema } from "./history.js";
import { fromColumns, runColumnsSchema, toColumns } from "./runColumns.js";
import { runSchema } from "./runs.js";

/** Layout version of the snapshots that this program writes, and the only one that it reads. */
export const snapshotVersion = 3;

const contentSchema = z.object({
    /** Log index of the last applied command. */
    index: z.int(),
    view: viewSchema,
    decided: z.array(z.object({ changeId: z.string(), result: commandResultSchema })),
    runs: runColumnsSchema.transform(fromColumns).pipe(z.array(runSchema)),
    audit: z.array(auditEntrySchema),
    history: z.array(historyEntrySchema),
});

/** Content of a ledger snapshot. */
export type LedgerContent = z.infer<typeof contentSchema>;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a snapshot as CBOR together with its layout version. */
export function encodeSnapshot(content: LedgerContent): Uint8Array {
    return encoder.encode({ version: snapshotVersion, content: { ...content, runs: toColumns(content.runs) } });
}

/** Decodes a snapshot. Throws if it has another layout version or its content is invalid. */
export function decodeSnapshot(bytes: Uint8Array): LedgerContent {
    // Decoded byte strings are views of the source buffer; without a copy each stored answer would retain all of it.
    const decoded = z.looseObject({ version: z.unknown() }).safeParse(encoder.decode(Buffer.from(bytes)));
    const version = decoded.data?.version;
    if (version !== snapshotVersion) {
        throw new Error(
            `The snapshot has layout version ${String(version)}, and this program reads version ${snapshotVersion}. `
                + "Start a release that supports this version; the data folder was not modified.",
        );
    }
    const content = contentSchema.safeParse(decoded.data?.content);
    if (!content.success) {
        const issues = content.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
        throw new Error(`The snapshot's content doesn't match its layout version: ${issues.join("; ")}`);
    }
    return content.data;
}
