import { commandLimitBytes } from "../../coordination/index.js";
import { type Change, type Finding, formatFinding } from "../../protocol/index.js";
import { declarationFindings } from "../../state/configuration/checks.js";
import { DefinitionLocations } from "../../state/configuration/definitionLocations.js";
import { encodeFrame } from "../../transport/index.js";

/** Stands for a file name in findings: the declaration arrives merged, so its files aren't known here. */
const mergedDeclarationName = "declaration";

/** Space in a command for its kind and its time, in addition to the change. */
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
        cure: "divide what rarely changes into fewer, shorter entries",
    }];
}

/** Formats all findings as one human-readable text. */
export function findingsText(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
