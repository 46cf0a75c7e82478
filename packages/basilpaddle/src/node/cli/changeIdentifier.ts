import { createHash } from "node:crypto";
import type { ConfigurationFile } from "../state/index.js";

/** The content that distinguishes a change from others. */
export type ChangeContent = {
    readonly operator: string;
    readonly base: number;
    readonly note: string;
    readonly files: readonly ConfigurationFile[];
};

/** Identifies a change by a digest of its content, so that sending it again after a lost answer is idempotent. */
export function changeIdentifier({ operator, base, note, files }: ChangeContent): string {
    const content = JSON.stringify([operator, base, note, files.map(file => [file.name, file.text])]);
    return createHash("sha256").update(content).digest("hex").slice(0, 32);
}

/**
 * The default for the revision that a change is made against: the one in force, or its predecessor if the one in force is
 * this same change. Without the latter case, a command that is repeated after a lost answer would be accepted as a new change,
 * and could undo a change that another operator made in between.
 */
export function defaultBase(
    inForce: { readonly revision: number; readonly changeId: string; },
    content: Omit<ChangeContent, "base">,
): number {
    const previousRevision = inForce.revision - 1;
    const isSameChange = previousRevision >= 0
        && changeIdentifier({ ...content, base: previousRevision }) === inForce.changeId;
    return isSameChange ? previousRevision : inForce.revision;
}
