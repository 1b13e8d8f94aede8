import { createHash } from "node:crypto";
import { countTokens } from "./answerPlan.js";

/** Characters of one cached block. */
export const blockCharacters = 256;

/** Tokens of one cached block. */
export const blockTokens = countTokens("x".repeat(blockCharacters));

/** A change of the cache. */
export interface CacheChange {
    readonly kind: "stored" | "evicted";
    /** Digest of the prefix that ends with the block. */
    readonly prefixDigest: string;
}

/**
 * The digests of the prefixes of a prompt that can be cached: one for each whole block, shortest first.
 *
 * Digest n is the SHA-256 in hexadecimal of the previous digest (at first the model's name) and the block's text.
 */
export function prefixDigests(model: string, prompt: string): readonly string[] {
    const digests: string[] = [];
    let previous = model;
    for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
        const block = prompt.slice(end - blockCharacters, end);
        previous = createHash("sha256").update(previous).update("\n").update(block).digest("hex");
        digests.push(previous);
    }
    return digests;
}

/** A bounded cache of prompt prefixes in blocks; the least recently used block goes first. */
export class PrefixCache {
    private readonly blocks = new Set<string>();
    private readonly capacity: number;

    /**
     * @param tokens Size in tokens.
     * @param changed Told of each block that comes or goes.
     */
    constructor(tokens: number, private readonly changed: (change: CacheChange) => void) {
        this.capacity = Math.floor(tokens / blockTokens);
    }

    /** Tokens held. */
    get usedTokens(): number {
        return this.blocks.size * blockTokens;
    }

    /** Number of leading tokens that are held; marks them as used. */
    match(digests: readonly string[]): number {
        const absent = digests.findIndex(digest => !this.blocks.has(digest));
        const held = absent === -1 ? digests : digests.slice(0, absent);
        this.touch(held);
        return held.length * blockTokens;
    }

    /** Takes the prefixes in, evicting others as needed. */
    store(digests: readonly string[]): void {
        const fitting = digests.slice(0, this.capacity);
        for (const digest of fitting.filter(candidate => !this.blocks.has(candidate))) {
            this.blocks.add(digest);
            this.changed({ kind: "stored", prefixDigest: digest });
        }
        this.touch(fitting);
        this.evict();
    }

    /** Forgets everything without a word, as a restart does. */
    clear(): void {
        this.blocks.clear();
    }

    /** Marks blocks as used, the shortest prefix last, so that a prefix outlives its continuations. */
    private touch(digests: readonly string[]): void {
        for (const digest of digests.toReversed()) {
            this.blocks.delete(digest);
            this.blocks.add(digest);
        }
    }

    private evict(): void {
        for (const digest of this.blocks) {
            if (this.blocks.size <= this.capacity) {
                return;
            }
            this.blocks.delete(digest);
            this.changed({ kind: "evicted", prefixDigest: digest });
        }
    }
}
