import type { PromptSegment } from "./callTraits.js";

/** Maximum number of prompt segments tracked per endpoint; the least recently used ones are evicted. */
const maximumParts = 2_000;

/** Estimates an endpoint's prefix cache from the prompt segments that this entry recently sent to it. */
export class PrefixCacheEstimate {
    /** Segment ids in order of their last use, the least recent first. */
    private readonly partIds = new Set<string>();

    /** Records that the segments were sent to the endpoint. */
    recordUse(parts: readonly PromptSegment[]): void {
        for (const { id } of parts) {
            this.partIds.delete(id);
            this.partIds.add(id);
        }
        for (const id of this.partIds) {
            if (this.partIds.size <= maximumParts) {
                break;
            }
            this.partIds.delete(id);
        }
    }

    /** Number of prompt tokens that need no prefill: those of the leading segments that are presumably cached. */
    cachedTokens(parts: readonly PromptSegment[]): number {
        let tokens = 0;
        for (const part of parts) {
            if (!this.partIds.has(part.id)) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }
}
