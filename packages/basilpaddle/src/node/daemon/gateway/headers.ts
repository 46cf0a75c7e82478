/** Lower-case names of hop-by-hop headers (RFC 9110, 7.6.1) and of those that the HTTP library sets itself. */
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
 * The headers of a message that are forwarded, as alternating names and values: without hop-by-hop headers, without those
 * that its `Connection` header names, and without those in `dropped`.
 */
export function endToEndHeaders(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
    const connectionOptions = new Set<string>();
    forEachHeader(rawHeaders, (name, value) => {
        if (name.toLowerCase() === "connection") {
            value.split(",").forEach(token => connectionOptions.add(token.trim().toLowerCase()));
        }
    });
    const forwarded: string[] = [];
    forEachHeader(rawHeaders, (name, value) => {
        const lower = name.toLowerCase();
        if (!connectionHeaders.has(lower) && !connectionOptions.has(lower) && !dropped.has(lower)) {
            forwarded.push(name, value);
        }
    });
    return forwarded;
}

/** Size in bytes of a request's head, without white space that may have been received between names and values. */
export function headerBytes(rawHeaders: readonly string[], method: string, target: string): number {
    let bytes = method.length + target.length + "  HTTP/1.1\r\n\r\n".length;
    forEachHeader(rawHeaders, (name, value) => {
        bytes += name.length + value.length + ":\r\n".length;
    });
    return bytes;
}

function forEachHeader(rawHeaders: readonly string[], visit: (name: string, value: string) => void): void {
    for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
        visit(rawHeaders[position]!, rawHeaders[position + 1]!);
    }
}
