import { type Finding, formatFinding } from "../protocol/index.js";

/** Output of a command, as text for a person or as JSON for a program. */
export class Output {
    private constructor(private readonly json: boolean) {}

    static create(json: boolean): Output {
        return new Output(json);
    }

    /** Writes the result to standard output, as JSON with `--json`, otherwise as lines of text. */
    result(value: unknown, lines: () => readonly string[]): void {
        const text = this.json ? JSON.stringify(value, undefined, 2) : lines().join("\n");
        process.stdout.write(`${text}\n`);
    }

    /** Writes a problem: as text to standard error, or with `--json` to standard output, where a program expects the result. */
    problem(value: { readonly kind: string; readonly message: string; }): void {
        if (this.json) {
            process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
            return;
        }
        process.stderr.write(`${value.message}\n`);
    }

    /** Writes findings: as text to standard error, one per line, or with `--json` as one value to standard output. */
    findings(findings: readonly Finding[]): void {
        if (this.json) {
            process.stdout.write(`${JSON.stringify({ kind: "findings", findings }, undefined, 2)}\n`);
            return;
        }
        process.stderr.write(`${findings.map(formatFinding).join("\n")}\n`);
        process.stderr.write(`${findings.length} finding${findings.length === 1 ? "" : "s"}; nothing was changed.\n`);
    }
}

/** Formats rows as text in aligned columns under their headings. */
export function table(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string[] {
    const allRows = [headings, ...rows.map(row => row.map(String))];
    const widths = headings.map((_, column) => Math.max(...allRows.map(row => String(row[column] ?? "").length)));
    return allRows.map(row => row.map((cell, column) => String(cell).padEnd(widths[column]!)).join("  ").trimEnd());
}
