import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** Limits the decompressed size, so that a faulty sender can't exhaust memory. */
const maxUnpackedBytes = 32 * 1024 * 1024;

/** Compresses a text with raw DEFLATE for transfer between daemons. */
export function packText(text: string): Uint8Array {
    return deflateRawSync(Buffer.from(text), { level: constants.Z_BEST_SPEED });
}

/** Decompresses a text. Throws if the bytes aren't valid DEFLATE data or the text exceeds the size limit. */
export function unpackText(packed: Uint8Array): string {
    return inflateRawSync(packed, { maxOutputLength: maxUnpackedBytes }).toString("utf8");
}
