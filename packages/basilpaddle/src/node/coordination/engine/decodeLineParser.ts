import type { DecodeLine } from "../../protocol/index.js";

const newline = 0x0a;
const endReasons: ReadonlySet<unknown> = new Set(["stop", "length"]);

/** The lines that one chunk of a stream completes. `error` is set if parsing stopped after them, and says why. */
export type LineBatch = { readonly lines: DecodeLine[]; readonly error: string | undefined; };

function isOffset(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Validates without zod: there is one line per token, and zod takes several times as long as parsing such a line. */
function isDecodeLine(value: unknown): value is DecodeLine {
    if (typeof value !== "object" || !value) {
        return false;
    }
    const line = value as Record<string, unknown>;
    if (line.kind === "token") {
        return typeof line.text === "string" && isOffset(line.offset);
    }
    if (line.kind === "end") {
        return isOffset(line.offset) && endReasons.has(line.reason);
    }
    return line.kind === "error" && typeof line.message === "string";
}

function parseLine(text: string): DecodeLine | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isDecodeLine(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

/** Parses a newline-delimited JSON stream into lines, independently of the chunk boundaries. */
export class DecodeLineParser {
    private partialLine: Buffer[] = [];
    private partialLineBytes = 0;

    private constructor(private readonly maxLineBytes: number) {}

    static create(maxLineBytes: number): DecodeLineParser {
        return new DecodeLineParser(maxLineBytes);
    }

    /** Adds a chunk and returns the lines that it completes. */
    push(chunk: Buffer): LineBatch {
        const lastNewline = chunk.lastIndexOf(newline);
        if (lastNewline === -1) {
            this.appendPartial(chunk);
            return {
                lines: [],
                error: this.partialLineBytes > this.maxLineBytes
                    ? "line in the decode stream exceeds the size limit"
                    : undefined,
            };
        }
        this.appendPartial(chunk.subarray(0, lastNewline));
        const completeLines = this.partialLine.length === 1 ? this.partialLine[0]! : Buffer.concat(this.partialLine);
        this.partialLine = [];
        this.partialLineBytes = 0;
        if (lastNewline + 1 < chunk.length) {
            this.appendPartial(chunk.subarray(lastNewline + 1));
        }
        return this.parse(completeLines.toString());
    }

    /** Number of buffered bytes of an incomplete line. */
    pendingBytes(): number {
        return this.partialLineBytes;
    }

    private appendPartial(chunk: Buffer): void {
        this.partialLine.push(chunk);
        this.partialLineBytes += chunk.length;
    }

    private parse(text: string): LineBatch {
        const lines: DecodeLine[] = [];
        for (const lineText of text.split("\n")) {
            const line = parseLine(lineText);
            if (line === undefined) {
                return { lines, error: `invalid line in the decode stream: ${lineText.slice(0, 200)}` };
            }
            lines.push(line);
        }
        return { lines, error: undefined };
    }
}
