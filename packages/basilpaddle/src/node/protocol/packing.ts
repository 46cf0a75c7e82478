import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** Most bytes that a packed text may grow to: a broken sender must not fill the memory. */
const textLimit = 32 * 1024 * 1024;

/** Deflates a text for its way between daemons. */
export function packText(text: string): Uint8Array {
    return deflateRawSync(Buffer.from(text), { level: constants.Z_BEST_SPEED });
}

/** Gives a packed text back. Throws on bytes that aren't one. */
export function unpackText(packed: Uint8Array): string {
    return inflateRawSync(packed, { maxOutputLength: textLimit }).toString("utf8");
}
