import type { AcceptedChange } from "../../process/state/configurationCommand.js";
import type { UsageTotals } from "../../process/usage/usageTotals.js";
import type { UsageLineKey } from "../../process/usage/usageWindow.js";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { Limits, ManifestEndpoint, Pool, RequestClass, Route } from "../../version/manifest.js";
import type { EntryStatus } from "../entryMessages.js";

/** An entry as the leader knows it. */
export interface EntryStanding extends EntryStatus {
    readonly entry: string;
    /** Differs at each start of the entry's process. */
    readonly incarnation: string;
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

/** One control process as a member of the log group. */
export interface MemberStanding {
    readonly memberId: string;
    readonly role: "voter" | "learner";
    /** Address for peers. */
    readonly address: string;
    readonly operatorAddress: string;
    readonly leads: boolean;
}

/** The answering member's copy of the log. */
export interface LogStanding {
    readonly memberId: string;
    readonly term: number;
    readonly lastPosition: number;
    readonly commitPosition: number;
    readonly appliedPosition: number;
}

/** Sums of usage, as decimal integers of any length. */
export type ShownTotals = Readonly<Record<keyof UsageTotals, string>>;

/** A window that still counts. */
export interface OpenUsage {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    readonly totals: ShownTotals;
    readonly lines: readonly (UsageLineKey & { readonly totals: ShownTotals; })[];
}

/** A window whose figures are fixed. */
export interface SealedUsage {
    readonly start: UnixMilliseconds;
    readonly end: UnixMilliseconds;
    /** SHA-256 of the report's bytes. */
    readonly digest: string;
    /** When the platform took the report; undefined until then. */
    readonly reportedAt: UnixMilliseconds | undefined;
    readonly totals: ShownTotals;
}

/** Answer to `GET /v1/usage`. */
export interface UsageAnswer {
    readonly currency: string | undefined;
    readonly open: readonly OpenUsage[];
    readonly sealed: readonly SealedUsage[];
}

/** Answer to `GET /v1/status`. */
export interface ControlStatus {
    /** Name of the control process that answers. */
    readonly control: string;
    /** Operator address of the leader, as far as known. */
    readonly leaderAddress: string | undefined;
    /** The term of the lease, which this process holds. */
    readonly fencingNumber: number;
    readonly log: LogStanding;
    readonly members: readonly MemberStanding[];
    /** Version of the configuration. */
    readonly version: number;
    /** The newest accepted manifest. */
    readonly manifest: AcceptedChange | undefined;
    readonly entries: readonly EntryStanding[];
    /** False while entries that an earlier leader knew may be missing from the list. */
    readonly entriesComplete: boolean;
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
