const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** Bytes of the shortest request, `GET / HTTP/1.1` and an empty line. */
const shortestRequestBytes = 18;
/** An empty line within these first bytes doesn't end a slice if another one follows: bodies may have many. */
const minSliceBytes = { head: 64, chunks: 256 } as const;
/** A slice isn't longer, so that what a parser makes of it is bounded; chunks may cost it as much as their bytes. */
const maxSliceBytes = { head: 16_384, chunks: 4_096, body: 16_384 } as const;

/** What a parser reads: heads, a body in chunks with what follows it, or a body of which that many bytes are left. */
export type ParserState = "head" | "chunks" | { readonly bodyLeft: number; };

/** The part of some bytes that a parser is given next. */
export type Slice = {
    /** Where it ends. */
    readonly end: number;
    /** Whether it ends with an empty line, as a head does. */
    readonly endsWithEmptyLine: boolean;
};

/**
 * Cuts bytes that a parser is to be given, so that little more than `requests` requests begin in the slice. It ends with a body of known
 * length, or with an empty line if it has one, so that nothing of a head is in a slice with what comes before it.
 */
export function nextSlice(bytes: Buffer, state: ParserState, requests: number): Slice {
    const limit = Math.min(bytes.length, maxSliceBytes[typeof state === "object" ? "body" : state]);
    if (typeof state === "object") {
        return { end: Math.min(limit, Math.max(1, state.bodyLeft)), endsWithEmptyLine: false };
    }
    const start = Math.max(minSliceBytes[state], (requests - 1) * shortestRequestBytes);
    let end: number | undefined;
    for (let at = bytes.indexOf(lineFeed); at >= 0 && at < limit; at = bytes.indexOf(lineFeed, at + 1)) {
        if (isEmptyLine(bytes, at)) {
            end = at + 1;
            if (end >= start) {
                break;
            }
        }
    }
    return { end: end ?? limit, endsWithEmptyLine: end !== undefined };
}

function isEmptyLine(bytes: Buffer, lineEnd: number): boolean {
    const before = bytes[lineEnd - 1];
    return before === lineFeed || before === carriageReturn && bytes[lineEnd - 2] === lineFeed;
}
