import type { PromptSegment } from "./callTraits.js";

/** Maximum number of prompt segments tracked per endpoint; the least recently used ones are evicted. */
const maximumSegments = 2_000;

/** Estimates an endpoint's prefix cache from the prompt segments that this entry recently sent to it. */
export class PrefixCacheEstimate {
    /** Segment ids in order of their last use, the least recent first. */
    private readonly segmentIds = new Set<string>();

    /** Records that the segments were sent to the endpoint. */
    recordUse(segments: readonly PromptSegment[]): void {
        for (const { id } of segments) {
            this.segmentIds.delete(id);
            this.segmentIds.add(id);
        }
        for (const id of this.segmentIds) {
            if (this.segmentIds.size <= maximumSegments) {
                break;
            }
            this.segmentIds.delete(id);
        }
    }

    /** Number of prompt tokens that need no prefill: those of the leading segments that are presumably cached. */
    cachedTokens(segments: readonly PromptSegment[]): number {
        let tokens = 0;
        for (const segment of segments) {
            if (!this.segmentIds.has(segment.id)) {
                break;
            }
            tokens += segment.tokens;
        }
        return tokens;
    }
}
