import fastCheck from "fast-check";
import type { CacheChange } from "../../../src/standIn/modelEngine/prefixCache.js";
import {
    blockCharacters,
    blockTokens,
    PrefixCache,
    prefixDigests,
} from "../../../src/standIn/modelEngine/prefixCache.js";
import { describe, it } from "../../describe.js";

function promptOf(...blocks: readonly string[]): readonly string[] {
    return prefixDigests("alpha", blocks.map(block => block.repeat(blockCharacters)).join(""));
}

describe("PrefixCache", () => {
    it("finds the longest held prefix in whole blocks", t => {
        const cache = new PrefixCache(10 * blockTokens, () => undefined);
        cache.store(promptOf("a", "b", "c"));
        t.is(cache.match(promptOf("a", "b", "x")), 2 * blockTokens);
        t.is(cache.match(promptOf("b")), 0);
    });

    it("evicts the least recently used prefix, and its end before its beginning", t => {
        const cache = new PrefixCache(3 * blockTokens, () => undefined);
        cache.store(promptOf("a", "b"));
        cache.store(promptOf("c"));
        cache.match(promptOf("a", "b"));
        cache.store(promptOf("d"));
        t.is(cache.match(promptOf("c")), 0);
        cache.store(promptOf("e"));
        t.is(cache.match(promptOf("a", "b")), blockTokens);
    });

    it("never exceeds its size, and its events tell exactly what it holds", t => {
        const prompt = fastCheck.array(fastCheck.constantFrom("a", "b", "c"), { maxLength: 5 });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(prompt, { maxLength: 20 }), fastCheck.nat(6), (prompts, blocks) => {
                const held = new Set<string>();
                const cache = new PrefixCache(blocks * blockTokens, (change: CacheChange) => {
                    t.is(held.has(change.prefixDigest), change.kind === "evicted");
                    held[change.kind === "stored" ? "add" : "delete"](change.prefixDigest);
                });
                for (const letters of prompts) {
                    cache.store(promptOf(...letters));
                    t.true(cache.usedTokens <= blocks * blockTokens);
                    t.is(held.size * blockTokens, cache.usedTokens);
                }
            }),
            { seed: 12 },
        );
    });
});
