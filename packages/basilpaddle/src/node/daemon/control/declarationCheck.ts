import { commandLimitBytes } from "../../coordination/index.js";
import { type Change, type Finding, formatFinding } from "../../protocol/index.js";
import { declarationFindings } from "../../state/configuration/checks.js";
import { DefinitionLocations } from "../../state/configuration/definitionLocations.js";
import { encodeFrame } from "../../transport/index.js";

/** File name in findings: the declaration was merged from its files before it was sent, so their names aren't known here. */
const mergedDeclarationName = "declaration";

/** Upper bound for the size of a command's other fields, its kind and time, in bytes. */
const commandOverheadBytes = 1_024;

/** All findings in a change that matches the schema. */
export function checkChange(change: Change): readonly Finding[] {
    const findings = declarationFindings(change.declaration, DefinitionLocations.create(), "check")
        .map(finding => ({ ...finding, file: mergedDeclarationName }));
    const bytes = encodeFrame(change).length + commandOverheadBytes;
    return bytes <= commandLimitBytes ? findings : [...findings, {
        file: mergedDeclarationName,
        place: "",
        cause: `the change has ${bytes} bytes including the text of its files; the limit is ${commandLimitBytes}`,
        cure: "shorten the configuration, for example by using fewer entries",
    }];
}

/** Formats all findings as one human-readable text. */
export function findingsText(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
