import fastCheck from "fast-check";
import type { CacheChange } from "../../../src/standIn/modelEngine/prefixCache.js";
import {
    charactersPerBlock,
    PrefixCache,
    prefixDigests,
    tokensPerBlock,
} from "../../../src/standIn/modelEngine/prefixCache.js";
import { describe, it } from "../../describe.js";

function promptOf(...blocks: readonly string[]): readonly string[] {
    return prefixDigests("alpha", blocks.map(block => block.repeat(charactersPerBlock)).join(""));
}

describe("PrefixCache", () => {
    it("matches the longest cached prefix in whole blocks", t => {
        const cache = new PrefixCache(10 * tokensPerBlock, () => undefined);
        cache.store(promptOf("a", "b", "c"));
        t.is(cache.match(promptOf("a", "b", "x")), 2 * tokensPerBlock);
        t.is(cache.match(promptOf("b")), 0);
    });

    it("evicts the least recently used prefix, last block first", t => {
        const cache = new PrefixCache(3 * tokensPerBlock, () => undefined);
        cache.store(promptOf("a", "b"));
        cache.store(promptOf("c"));
        cache.match(promptOf("a", "b"));
        cache.store(promptOf("d"));
        t.is(cache.match(promptOf("c")), 0);
        cache.store(promptOf("e"));
        t.is(cache.match(promptOf("a", "b")), tokensPerBlock);
    });

    it("never exceeds its capacity, and its events match its content exactly", t => {
        const prompt = fastCheck.array(fastCheck.constantFrom("a", "b", "c"), { maxLength: 5 });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(prompt, { maxLength: 20 }), fastCheck.nat(6), (prompts, blocks) => {
                const cachedDigests = new Set<string>();
                const cache = new PrefixCache(blocks * tokensPerBlock, (change: CacheChange) => {
                    t.is(cachedDigests.has(change.prefixDigest), change.kind === "evicted");
                    cachedDigests[change.kind === "stored" ? "add" : "delete"](change.prefixDigest);
                });
                for (const letters of prompts) {
                    cache.store(promptOf(...letters));
                    t.true(cache.usedTokens <= blocks * tokensPerBlock);
                    t.is(cachedDigests.size * tokensPerBlock, cache.usedTokens);
                }
            }),
            { seed: 12 },
        );
    });
});
