import { createHash } from "node:crypto";
import type { PromptSegment } from "./callTraits.js";
import { shortId } from "./shortId.js";

/** Maximum number of segments of one call; a call with more is known by its first ones. */
const maximumSegments = 63;

/** Length of the digest of a call, in hexadecimal digits. */
const digestLength = 32;

/** Prefix of the feature that only identical calls share. */
const callPrefix = "call:";

/** What identical calls have in common. */
export interface CallContent {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Undefined for a call without a key. */
    readonly team: string | undefined;
    readonly body: Buffer | undefined;
}

/**
 * What calls that crash endpoints may have in common, from the most widely shared feature to the most specific one.
 *
 * The last segment of a prompt is specific to the call or its session, so that nothing can be learnt from it.
 */
export function featuresOf(segments: readonly PromptSegment[], content: CallContent): readonly string[] {
    const shared = segments.slice(0, -1).slice(0, maximumSegments);
    const hasBody = content.body !== undefined && content.body.length > 0;
    const callFeature = `${callPrefix}${digestOf(content, hasBody ? [] : segments)}`;
    return [...new Set(shared.map(({ id }) => `segment:${shortId(id)}`)), callFeature];
}

/** Whether only identical calls share a feature. */
export function isCallFeature(feature: string): boolean {
    return feature.startsWith(callPrefix);
}

/** @param segments Segments that are the content of a call without a body. */
function digestOf({ method, target, team = "", body }: CallContent, segments: readonly PromptSegment[]): string {
    const prompt = segments.map(({ id }) => id).join();
    const hash = createHash("sha256").update(`${method} ${target}\n${team}\n${prompt}\n`);
    return hash.update(body ?? "").digest("hex").slice(0, digestLength);
}
