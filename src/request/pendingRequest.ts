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
    /** Digest of the key; undefined on a route that is open to all. */
    readonly keyDigest?: string | undefined;
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
    /** Digests of the prompt's prefixes as engines publish them, shortest first. */
    readonly prefixDigests?: readonly string[];
    /** Model that its endpoints must have loaded, as engines name it; undefined for plain services. */
    readonly model?: string | undefined;
    /** Version of the model that its route asks for. */
    readonly version?: string | undefined;
    /** Adapter that its route asks for. */
    readonly adapter?: string | undefined;
    /** Whether running it twice does no harm. */
    readonly idempotent: boolean;
}
