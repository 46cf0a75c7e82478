import { type Either, Left, Right } from "purify-ts";
import {
    type Declaration,
    declarationSchema,
    type Finding,
    type Fragment,
    fragmentSchema,
} from "../../protocol/index.js";
import { JsonText } from "../../utils/index.js";
import { declarationFindings } from "./checks.js";
import { DefinitionLocations } from "./definitionLocations.js";
import type { ConfigurationFile } from "./folder.js";

const namedSections = ["pools", "services", "routes", "organisations"] as const;
type NamedSection = (typeof namedSections)[number];

/** Merges the files in the given order into one declaration, or returns the findings of all files together. */
export function mergeFiles(files: readonly ConfigurationFile[]): Either<readonly Finding[], Declaration> {
    const merge = new Merge();
    for (const file of files) {
        merge.add(file);
    }
    return merge.finish();
}

/** State of one merge: the sections merged and the findings collected so far. */
class Merge {
    private readonly findings: Finding[] = [];
    private readonly locations = DefinitionLocations.create();
    private readonly sections: { [section in NamedSection]: Map<string, unknown>; } = {
        pools: new Map(),
        services: new Map(),
        routes: new Map(),
        organisations: new Map(),
    };
    private anyOrganisation: Fragment["anyOrganisation"];
    private hasInvalidFile = false;

    add(file: ConfigurationFile): void {
        JsonText.parse(file.text).caseOf({
            Left: faults => {
                this.hasInvalidFile = true;
                this.findings.push(...faults.map(fault => ({ file: file.name, ...fault })));
            },
            Right: text => this.addText(file.name, text),
        });
    }

    finish(): Either<readonly Finding[], Declaration> {
        const declaration = declarationSchema.safeParse({
            pools: Object.fromEntries(this.sections.pools),
            services: Object.fromEntries(this.sections.services),
            routes: [...this.sections.routes.values()],
            organisations: Object.fromEntries(this.sections.organisations),
            anyOrganisation: this.anyOrganisation,
        });
        if (declaration.success) {
            // If a file couldn't be merged, valid references to its definitions would be reported as unknown.
            const references = this.hasInvalidFile ? "skip" : "check";
            this.findings.push(...declarationFindings(declaration.data, this.locations, references));
        }
        else if (!this.hasInvalidFile) {
            this.findings.push({ file: ".", place: "", cause: `can't be merged: ${declaration.error.message}` });
        }
        if (this.findings.length > 0 || !declaration.success) {
            return Left(this.findings);
        }
        return Right(declaration.data);
    }

    private addText(file: string, text: JsonText): void {
        this.recordDefinitions(file, text);
        const fragment = fragmentSchema.safeParse(text.value);
        if (!fragment.success) {
            this.hasInvalidFile = true;
            for (const issue of fragment.error.issues) {
                this.findings.push({ file, place: text.place(issue.path), cause: issue.message });
            }
            return;
        }
        this.addFragment(fragment.data);
    }

    // Records definitions of a file with invalid fields too, so that one run reports both kinds of findings.
    private recordDefinitions(file: string, text: JsonText): void {
        const value = text.value;
        if (!isObject(value)) {
            return;
        }
        for (const section of namedSections) {
            const entries = value[section];
            for (const name of isObject(entries) ? Object.keys(entries) : []) {
                this.recordDefinition(file, text, [section, name]);
            }
        }
        if (value["anyOrganisation"] !== undefined) {
            this.recordDefinition(file, text, ["anyOrganisation"]);
        }
    }

    private recordDefinition(file: string, text: JsonText, path: readonly string[]): void {
        const earlier = this.locations.addLocation(path, { file, place: text.place(path) });
        if (earlier !== undefined) {
            this.findings.push({
                file,
                place: text.place(path),
                cause: `is also defined in ${earlier.file}, at ${earlier.place}`,
                cure: "define it in only one of the two files",
            });
        }
    }

    private addFragment(fragment: Fragment): void {
        for (const section of namedSections) {
            for (const [name, value] of Object.entries(fragment[section] ?? {})) {
                const entry = section === "routes" ? { ...value, name } : value;
                this.sections[section].set(name, entry);
            }
        }
        this.anyOrganisation ??= fragment.anyOrganisation;
    }
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
