/**
 * A number from 0 up to, but without, 1 that follows from the text: choices that must repeat for the same request and
 * differ between requests (FNV-1a, its bits mixed once more, since texts that differ at their end only lie close together).
 */
export function fractionOf(text: string): number {
    let hash = 0x811c9dc5;
    for (let position = 0; position < text.length; position++) {
        hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
    return ((hash ^ (hash >>> 13)) >>> 0) / 0x1_0000_0000;
}
