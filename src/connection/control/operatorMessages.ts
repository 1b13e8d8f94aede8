import type { AcceptedChange } from "../../process/state/configurationCommand.js";
import type { UsageTotals } from "../../process/usage/usageTotals.js";
import type { UsageLineKey } from "../../process/usage/usageWindow.js";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { Limits, ManifestEndpoint, Pool, RequestClass, Route } from "../../version/manifest.js";
import type { EntryStatus } from "../entryMessages.js";

/** State of an entry as known to the leader. */
export interface EntryOverview extends EntryStatus {
    readonly entry: string;
    /** Id of the entry's process; each start of the process creates a new one. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly metricsAddress: string;
    /** Configuration version that the entry last reported as in force. */
    readonly version: number;
    readonly connected: boolean;
    /** Remaining time for which the entry may serve without a new permit. */
    readonly permitLeft: Milliseconds;
}

/** A pool with the endpoints that the manifest lists for it. */
export interface PoolOverview {
    readonly name: string;
    readonly kind: Pool["kind"];
    readonly endpoints: readonly ManifestEndpoint[];
}

/** One control process as a member of the log group. */
export interface MemberOverview {
    readonly memberId: string;
    readonly role: "voter" | "learner";
    /** Address for peers. */
    readonly address: string;
    readonly operatorAddress: string;
    readonly leads: boolean;
}

/** State of the responding member's copy of the log. */
export interface LogOverview {
    readonly memberId: string;
    readonly term: number;
    readonly lastPosition: number;
    readonly commitPosition: number;
    readonly appliedPosition: number;
}

/** Usage totals as decimal integers of any length. */
export type FormattedTotals = Readonly<Record<keyof UsageTotals, string>>;

/** A usage window that still accepts records. */
export interface OpenUsageWindow {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    readonly totals: FormattedTotals;
    readonly lines: readonly (UsageLineKey & { readonly totals: FormattedTotals; })[];
}

/** A usage window whose totals are final. */
export interface SealedUsageWindow {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    /** SHA-256 of the report's bytes. */
    readonly digest: string;
    /** Time at which the platform accepted the report; undefined until then. */
    readonly reportedAt: UnixMilliseconds | undefined;
    readonly totals: FormattedTotals;
}

/** Response to `GET /v1/usage`. */
export interface UsageResponse {
    readonly currency: string | undefined;
    readonly open: readonly OpenUsageWindow[];
    readonly sealed: readonly SealedUsageWindow[];
}

/** Response to `GET /v1/status`. */
export interface ControlStatus {
    /** Name of the responding control process. */
    readonly control: string;
    /** Operator address of the leader; undefined if unknown. */
    readonly leaderAddress: string | undefined;
    /** Term of the lease that this process holds. */
    readonly fencingNumber: number;
    readonly log: LogOverview;
    readonly members: readonly MemberOverview[];
    /** Version of the configuration. */
    readonly version: number;
    /** The newest accepted manifest. */
    readonly manifest: AcceptedChange | undefined;
    readonly entries: readonly EntryOverview[];
    /** False while entries that received a permit from an earlier leader may be missing from the list. */
    readonly entriesComplete: boolean;
    readonly pools: readonly PoolOverview[];
}

/** How the configuration resolves a request, regardless of load. */
export interface ResolvedExplanation {
    readonly route: Route;
    readonly pool: string;
    readonly requestClass: RequestClass;
    /** Limits of the team; undefined if it has none. */
    readonly limits: Limits | undefined;
    readonly endpoints: readonly ManifestEndpoint[];
}

/** Response to `GET /v1/explain`. */
export interface Explanation {
    readonly version: number;
    /** Absent if the request is always refused, regardless of load. */
    readonly resolved?: ResolvedExplanation | undefined;
    /** The refusal as described to callers; absent if the request is resolved. */
    readonly refusal?: string | undefined;
    readonly entries: readonly EntryOverview[];
}
