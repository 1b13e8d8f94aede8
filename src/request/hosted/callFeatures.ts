import { createHash } from "node:crypto";
import type { PromptSegment } from "./callTraits.js";

/** Maximum number of features of one call; a call with more is known by its first ones. */
const maximumFeatures = 64;

/** Maximum length of an id that is used as it is; a longer one is replaced by its digest. */
const maximumIdLength = 64;

/**
 * What calls that crash endpoints may have in common, from the most widely shared feature to the most specific one.
 *
 * The last segment of a prompt is specific to the call or its session, so that nothing can be learnt from it.
 */
export function featuresOf(segments: readonly PromptSegment[]): readonly string[] {
    const shared = segments.slice(0, -1).slice(0, maximumFeatures);
    return [...new Set(shared.map(({ id }) => `segment:${shortId(id)}`))];
}

function shortId(id: string): string {
    return id.length <= maximumIdLength ? id : createHash("sha256").update(id).digest("hex");
}
