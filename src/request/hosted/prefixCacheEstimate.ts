import type { PromptSegment } from "./callTraits.js";

/** Parts that are remembered for one endpoint; the least recently used ones give way. */
const rememberedParts = 2_000;

/** The prompt parts that an endpoint has read lately, as far as this entry knows from what it sent. */
export class PrefixRecord {
    /** In the order of their last use. */
    private readonly parts = new Set<string>();

    /** Notes that the endpoint reads the parts. */
    note(parts: readonly PromptSegment[]): void {
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

    /** Tokens of a prompt that the endpoint need not read again: those of the leading parts that it holds. */
    heldTokens(parts: readonly PromptSegment[]): number {
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
