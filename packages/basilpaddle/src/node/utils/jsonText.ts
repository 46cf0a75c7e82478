import type { Node as JsonNode, ParseError } from "jsonc-parser";
import { createRequire } from "node:module";
import { type Either, Left, Right } from "purify-ts";

// Node.js can't load the package's ES module build, and its CommonJS build doesn't support named imports.
const jsonc = createRequire(import.meta.url)("jsonc-parser") as typeof import("jsonc-parser");

/** An error in a JSON text, with its position. */
export type JsonFault = {
    readonly place: string;
    readonly cause: string;
};

/** A parsed JSON text that can locate each of its fields. */
export class JsonText {
    private constructor(
        private readonly text: string,
        private readonly tree: JsonNode,
        /** The parsed value. */
        readonly value: unknown,
    ) {}

    /** Parses the text; returns its first syntax error or all duplicate keys on failure. */
    static parse(text: string): Either<readonly JsonFault[], JsonText> {
        const errors: ParseError[] = [];
        const body = text.startsWith("\uFEFF") ? text.slice(1) : text;
        const tree = jsonc.parseTree(body, errors, { disallowComments: true, allowTrailingComma: false });
        const first = errors[0];
        if (first !== undefined || tree === undefined) {
            // Later syntax errors are mostly consequences of the first one.
            const offset = first?.offset ?? body.length;
            const cause = first === undefined ? "the file is empty" : describeParseError(first);
            return Left([{ place: lineAndColumn(body, offset), cause: `isn't well-formed JSON: ${cause}` }]);
        }
        const duplicates = duplicateKeys(body, tree);
        return duplicates.length > 0 ? Left(duplicates) : Right(new JsonText(body, tree, JSON.parse(body)));
    }

    /** Path and position of a field; if it isn't in the text, the position of its nearest existing ancestor. */
    place(path: readonly PropertyKey[]): string {
        const keys = path.map(key => typeof key === "symbol" ? key.toString() : key);
        const node = this.nearestNode(keys);
        return `${keys.join(".")}${keys.length > 0 ? " " : ""}(${lineAndColumn(this.text, node.offset)})`;
    }

    private nearestNode(path: readonly (string | number)[]): JsonNode {
        for (let length = path.length; length > 0; length--) {
            const node = jsonc.findNodeAtLocation(this.tree, path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return this.tree;
    }
}

// JSON.parse silently keeps only the last of several duplicate keys, so a part of the file would have no effect.
function duplicateKeys(text: string, node: JsonNode): JsonFault[] {
    const faults: JsonFault[] = [];
    const seen = new Set<string>();
    for (const child of node.children ?? []) {
        const key = node.type === "object" ? child.children?.[0] : undefined;
        if (key !== undefined && seen.has(key.value as string)) {
            faults.push({
                place: `${jsonc.getNodePath(key).join(".")} (${lineAndColumn(text, key.offset)})`,
                cause: "is defined twice in the same object",
            });
        }
        if (key !== undefined) {
            seen.add(key.value as string);
        }
        faults.push(...duplicateKeys(text, child));
    }
    return faults;
}

function lineAndColumn(text: string, offset: number): string {
    const before = text.slice(0, offset).split("\n");
    return `line ${before.length}, column ${before[before.length - 1]!.length + 1}`;
}

function describeParseError(error: ParseError): string {
    const description = jsonc.printParseErrorCode(error.error).replace(/([a-z])([A-Z])/g, "$1 $2");
    return description.toLowerCase();
}
