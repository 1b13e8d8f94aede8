import type { PromptPart } from "./callTraits.js";

/** Maximum number of prompt segments tracked per endpoint; the least recently used ones are evicted. */
const rememberedParts = 2_000;

/** Estimates an endpoint's prefix cache from the prompt segments that this entry recently sent to it. */
export class PrefixRecord {
    /** Segment ids in order of their last use, the least recent first. */
    private readonly parts = new Set<string>();

    /** Records that the segments were sent to the endpoint. */
    note(parts: readonly PromptPart[]): void {
        for (const { id } of parts) {
            this.parts.delete(id);
            this.parts.add(id);
        }
        for (const id of this.parts) {
            if (this.parts.size <= rememberedParts) {
                break;
            }
            this.parts.delete(id);
        }
    }

    /** Number of prompt tokens that need no prefill: those of the leading segments that are presumably cached. */
    heldTokens(parts: readonly PromptPart[]): number {
        let tokens = 0;
        for (const part of parts) {
            if (!this.parts.has(part.id)) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }
}
