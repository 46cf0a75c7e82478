import { createHash } from "node:crypto";

/** Splits a text into tokens as the stand-ins count them: each word with the whitespace before it. */
export function splitTokens(text: string): string[] {
    return text.match(/\s*\S+/g) ?? [];
}

/**
 * The tokens of a fake engine's complete answer. They depend only on the prompt and `maxTokens`, so that a caller can check
 * that it received its own answer, and all of it: the first token is a digest of the prompt, and each later one contains its
 * offset.
 */
export function answerTokens(prompt: string, maxTokens: number): string[] {
    const digest = createHash("sha256").update(prompt).digest();
    const length = Math.min(maxTokens, 8 + digest.readUInt16BE(0) % 120);
    const firstToken = digest.toString("hex", 0, 6);
    return Array.from({ length }, (_, offset) => offset === 0 ? firstToken : ` ${firstToken.slice(0, 2)}${offset}`);
}
