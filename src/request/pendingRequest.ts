import type { Milliseconds } from "../util/clock.js";
import type { RequestClass } from "../version/manifest.js";

/** Immutable properties of a request that admission and routing use. */
export interface PendingRequest {
    /** Identifier, unique across all entries. */
    readonly id: string;
    /** Name of the team; undefined on a public route. */
    readonly team: string | undefined;
    /** Name of the API key; undefined on a public route. */
    readonly keyName: string | undefined;
    /** Digest of the API key; undefined on a public route. */
    readonly keyDigest?: string | undefined;
    readonly requestClass: RequestClass;
    /** Name of the pool that serves it. */
    readonly pool: string;
    /** Monotonic arrival time, in milliseconds. */
    readonly arrivedAt: Milliseconds;
    /** Estimated or counted number of prompt tokens; 0 for plain services. */
    readonly promptTokens: number;
    /** Maximum number of output tokens that the caller allows; 0 for plain services. */
    readonly maximumOutputTokens: number;
    /** Digest of the first characters of the prompt, for prefix affinity in routing; empty for plain services. */
    readonly affinityDigest: string;
    /** Digests of the prompt's prefixes, shortest first, computed as engines do when they publish cached prefixes. */
    readonly cachePrefixDigests?: readonly string[];
    /** Engine name of the model that the endpoint must have loaded; undefined for plain services. */
    readonly model?: string | undefined;
    /** Model version required by the route. */
    readonly version?: string | undefined;
    /** Adapter required by the route. */
    readonly adapter?: string | undefined;
    /** Whether the request is safe to run twice. */
    readonly idempotent: boolean;
}
