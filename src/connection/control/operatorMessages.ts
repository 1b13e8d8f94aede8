import type { AcceptedChange } from "../../process/state/configurationCommand.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Limits, ManifestEndpoint, Pool, RequestClass, Route } from "../../version/manifest.js";
import type { EntryStatus } from "../entryMessages.js";

/** An entry as the leader knows it. */
export interface EntryStanding extends EntryStatus {
    readonly entry: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly metricsAddress: string;
    /** Version that the entry last reported as in force. */
    readonly version: number;
    readonly connected: boolean;
    /** Time for which the entry may still serve without a new permit. */
    readonly permitLeft: Milliseconds;
}

/** A pool and the endpoints that the manifest lists for it. */
export interface PoolStanding {
    readonly name: string;
    readonly kind: Pool["kind"];
    readonly endpoints: readonly ManifestEndpoint[];
}

/** Answer to `GET /v1/status`. */
export interface ControlStatus {
    /** Name of the control process that answers. */
    readonly control: string;
    /** Operator address of the leader, as far as known. */
    readonly leaderAddress: string | undefined;
    /** The term of the lease if this process holds it. */
    readonly fencingNumber: number | undefined;
    /** Version of the configuration. */
    readonly version: number;
    /** The newest accepted manifest. */
    readonly manifest: AcceptedChange | undefined;
    readonly entries: readonly EntryStanding[];
    readonly pools: readonly PoolStanding[];
}

/** What a request would be admitted as, by the configuration alone. */
export interface ResolvedExplanation {
    readonly route: Route;
    readonly pool: string;
    readonly requestClass: RequestClass;
    /** Limits of the team, where it has some. */
    readonly limits: Limits | undefined;
    readonly endpoints: readonly ManifestEndpoint[];
}

/** Answer to `GET /v1/explain`. */
export interface Explanation {
    readonly version: number;
    /** Absent where the request is refused whatever the load is. */
    readonly resolved?: ResolvedExplanation | undefined;
    /** The refusal, as callers are shown it; absent where the request resolves. */
    readonly refusal?: string | undefined;
    readonly entries: readonly EntryStanding[];
}
