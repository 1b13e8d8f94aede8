import { createHash } from "node:crypto";
import { countTokens } from "./deterministicCompletion.js";

/** Number of characters in a cache block. */
export const charactersPerBlock = 256;

/** Number of tokens in a cache block. */
export const tokensPerBlock = countTokens("x".repeat(charactersPerBlock));

/** A change of the cache. */
export interface CacheChange {
    readonly kind: "stored" | "evicted";
    /** Digest of the prefix that ends with the block. */
    readonly prefixDigest: string;
}

/**
 * The digests of the cacheable prefixes of a prompt: one for each complete block, shortest prefix first.
 *
 * Digest n is the hexadecimal SHA-256 of the previous digest (the model name for the first block), a newline and the
 * text of the block.
 */
export function prefixDigests(model: string, prompt: string): readonly string[] {
    const digests: string[] = [];
    let previous = model;
    for (let end = charactersPerBlock; end <= prompt.length; end += charactersPerBlock) {
        const block = prompt.slice(end - charactersPerBlock, end);
        previous = createHash("sha256").update(previous).update("\n").update(block).digest("hex");
        digests.push(previous);
    }
    return digests;
}

/** A bounded cache of prompt prefixes in blocks, with least-recently-used eviction. */
export class PrefixCache {
    private readonly blocks = new Set<string>();
    private readonly capacityBlocks: number;

    /**
     * @param tokens Size in tokens.
     * @param onChange Called for each block that is stored or evicted.
     */
    constructor(tokens: number, private readonly onChange: (change: CacheChange) => void) {
        this.capacityBlocks = Math.floor(tokens / tokensPerBlock);
    }

    /** Number of cached tokens. */
    get usedTokens(): number {
        return this.blocks.size * tokensPerBlock;
    }

    /** Number of leading tokens that are cached; marks their blocks as recently used. */
    match(digests: readonly string[]): number {
        const firstMissing = digests.findIndex(digest => !this.blocks.has(digest));
        const cached = firstMissing === -1 ? digests : digests.slice(0, firstMissing);
        this.touch(cached);
        return cached.length * tokensPerBlock;
    }

    /** Stores prefixes and evicts others as needed; blocks beyond the capacity are not stored. */
    store(digests: readonly string[]): void {
        const fitting = digests.slice(0, this.capacityBlocks);
        for (const digest of fitting.filter(candidate => !this.blocks.has(candidate))) {
            this.blocks.add(digest);
            this.onChange({ kind: "stored", prefixDigest: digest });
        }
        this.touch(fitting);
        this.evict();
    }

    /** Drops all blocks without reporting evictions, as a restart does. */
    clear(): void {
        this.blocks.clear();
    }

    /** Marks blocks as recently used, shortest prefix last, so that a prefix is evicted after its continuations. */
    private touch(digests: readonly string[]): void {
        for (const digest of digests.toReversed()) {
            this.blocks.delete(digest);
            this.blocks.add(digest);
        }
    }

    private evict(): void {
        for (const digest of this.blocks) {
            if (this.blocks.size <= this.capacityBlocks) {
                return;
            }
            this.blocks.delete(digest);
            this.onChange({ kind: "evicted", prefixDigest: digest });
        }
    }
}
