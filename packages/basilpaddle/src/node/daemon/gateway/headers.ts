/** Headers that concern one connection only, in lower case (RFC 9110, 7.6.1), and those that the HTTP library sets itself. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
]);

/**
 * Headers of a message that are passed on, as names and values by turns: without those of the connection it came over,
 * without those that its `Connection` header names, and without those in `dropped`.
 */
export function passedOn(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
    const named = new Set<string>();
    forEachHeader(rawHeaders, (name, value) => {
        if (name.toLowerCase() === "connection") {
            value.split(",").forEach(token => named.add(token.trim().toLowerCase()));
        }
    });
    const passed: string[] = [];
    forEachHeader(rawHeaders, (name, value) => {
        const lower = name.toLowerCase();
        if (!connectionHeaders.has(lower) && !named.has(lower) && !dropped.has(lower)) {
            passed.push(name, value);
        }
    });
    return passed;
}

/** Bytes of a header block, as it came over the wire. */
export function headerBytes(rawHeaders: readonly string[], method: string, target: string): number {
    let bytes = method.length + target.length + " HTTP/1.1\r\n".length + 3;
    forEachHeader(rawHeaders, (name, value) => {
        bytes += name.length + value.length + ": \r\n".length;
    });
    return bytes;
}

function forEachHeader(rawHeaders: readonly string[], visit: (name: string, value: string) => void): void {
    for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
        visit(rawHeaders[position]!, rawHeaders[position + 1]!);
    }
}
