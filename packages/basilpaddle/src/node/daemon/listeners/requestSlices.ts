const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** Bytes of the shortest request, `GET / HTTP/1.1` and an empty line. */
const shortestRequestBytes = 18;
/** A slice isn't shorter, so that empty lines within a body don't make it many slices. */
const minSliceBytes = 64;
/** A slice isn't longer, so that what a parser makes of it is bounded. */
const maxSliceBytes = 16_384;

/**
 * Where to cut bytes that a parser is to be given, so that little more than `requests` requests begin in the first part: after the first
 * empty line beyond the bytes that these take at least.
 */
export function endOfSlice(bytes: Buffer, requests: number): number {
    const end = Math.min(bytes.length, maxSliceBytes);
    const start = Math.max(minSliceBytes, (requests - 1) * shortestRequestBytes);
    for (let at = bytes.indexOf(lineFeed, start); at >= 0 && at < end; at = bytes.indexOf(lineFeed, at + 1)) {
        if (bytes[at - 1] === lineFeed || bytes[at - 1] === carriageReturn && bytes[at - 2] === lineFeed) {
            return at + 1;
        }
    }
    return end;
}
