import { createHash } from "node:crypto";

/** Length of a prompt block, the unit of an engine's prefix cache, in characters. */
const blockCharacters = 256;

/** Maximum number of blocks whose digests are computed. */
const maximumBlocks = 8;

/**
 * Computes the digests under which an engine publishes the cached prefixes of a prompt, shortest prefix first.
 *
 * The digest of a block is the hexadecimal SHA-256 of the previous digest (for the first block, the model's name), a
 * line feed and the block's text; see docs/INTERFACES.md. An incomplete last block has no digest.
 */
export function computePrefixDigests(model: string, prompt: string): readonly string[] {
    const digests: string[] = [];
    const blockCount = Math.min(maximumBlocks, Math.floor(prompt.length / blockCharacters));
    let previous = model;
    for (let block = 0; block < blockCount; block++) {
        const text = prompt.slice(block * blockCharacters, (block + 1) * blockCharacters);
        previous = createHash("sha256").update(previous).update("\n").update(text).digest("hex");
        digests.push(previous);
    }
    return digests;
}
