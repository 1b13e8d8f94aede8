import type { Milliseconds } from "../util/clock.js";
import type { RequestClass } from "../version/manifest.js";

/** What admission and routing need to know of one request; it never changes. */
export interface PendingRequest {
    /** Unique over all entries. */
    readonly id: string;
    /** Name of the team, or undefined on a route that is open to all. */
    readonly team: string | undefined;
    /** Name of the key, or undefined on a route that is open to all. */
    readonly keyName: string | undefined;
    readonly requestClass: RequestClass;
    /** Name of the pool that serves it. */
    readonly pool: string;
    /** Monotonic time of arrival in milliseconds. */
    readonly arrivedAt: Milliseconds;
    /** Estimated or counted tokens of the prompt; 0 for plain services. */
    readonly promptTokens: number;
    /** Largest number of output tokens the caller allows; 0 for plain services. */
    readonly maximumOutputTokens: number;
    /** Digest of the leading part of the prompt, which engines may have cached; empty for plain services. */
    readonly prefixDigest: string;
    /** Whether running it twice does no harm. */
    readonly idempotent: boolean;
}
