/**
 * Maps a text deterministically to a number from 0 (inclusive) to 1 (exclusive), for choices that must be the same for the
 * same request and differ between requests. Uses FNV-1a with an additional mixing step, since without it texts that differ
 * only at their end have similar hashes.
 */
export function hashToFraction(text: string): number {
    let hash = 0x811c9dc5;
    for (let position = 0; position < text.length; position++) {
        hash = Math.imul(hash ^ text.charCodeAt(position), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
    return ((hash ^ (hash >>> 13)) >>> 0) / 0x1_0000_0000;
}
