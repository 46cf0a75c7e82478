import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Characters per token, for estimates where only the text is known. */
export const charactersPerToken = 4;
/** Prompt tokens in one prefix block. */
export const blockTokens = 64;

const blockCharacters = blockTokens * charactersPerToken;
/** Number of blocks of a prompt that are hashed; the rest of a longer prompt is treated as not cached. */
const maxHashedBlocks = 512;

/** Computes prefix hashes of prompts by chaining xxHash64 over their blocks. Engines use the same hashes in cache events. */
export class PrefixHash {
    private constructor(private readonly hash: XXHashAPI) {}

    static async create(): Promise<PrefixHash> {
        return new PrefixHash(await xxhash());
    }

    /** Hashes of all prefixes that end at a block boundary, the longest last. Each is 16 hexadecimal digits. */
    prefixes(prompt: string): string[] {
        const hashes: string[] = [];
        let seed = 0n;
        const end = Math.min(Math.floor(prompt.length / blockCharacters), maxHashedBlocks) * blockCharacters;
        for (let start = 0; start < end; start += blockCharacters) {
            seed = this.hash.h64(prompt.slice(start, start + blockCharacters), seed);
            hashes.push(seed.toString(16).padStart(16, "0"));
        }
        return hashes;
    }
}

/** Estimates the number of tokens of a prompt from its length in characters. */
export function estimateTokens(prompt: string): number {
    return Math.ceil(prompt.length / charactersPerToken);
}
