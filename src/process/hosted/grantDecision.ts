import type { Milliseconds } from "../../util/clock.js";

/** The leader's decision on a request for one call to an endpoint whose rate is limited. */
export interface GrantDecision {
    readonly isGranted: boolean;
    /** Time until the call may be sent, or, if it was denied, until one could be granted. */
    readonly delay: Milliseconds;
    /** Number of entries that lately asked for calls to the endpoint. */
    readonly contenders: number;
}
