import { createHash } from "node:crypto";

/** Characters of one block of a prompt that an engine caches as a whole. */
const blockCharacters = 256;

/** Blocks whose digests are computed at most. */
const maximumBlocks = 8;

/**
 * The digests under which an engine publishes the cached prefixes of a prompt, shortest first.
 *
 * Digest n is the SHA-256 in hexadecimal of the previous digest (at first the model's name), a line feed and the
 * block's text; see docs/INTERFACES.md.
 */
export function computePrefixDigests(model: string, prompt: string): readonly string[] {
    const digests: string[] = [];
    const blocks = Math.min(maximumBlocks, Math.floor(prompt.length / blockCharacters));
    let previous = model;
    for (let block = 0; block < blocks; block++) {
        const text = prompt.slice(block * blockCharacters, (block + 1) * blockCharacters);
        previous = createHash("sha256").update(previous).update("\n").update(text).digest("hex");
        digests.push(previous);
    }
    return digests;
}
