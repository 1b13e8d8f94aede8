import type { Milliseconds } from "../../util/clock.js";

/** Fraction of the bound on retries that the leader grants wherever the need arises. */
export const grantedFraction = 0.6;

/**
 * Fraction of the bound on retries that is divided among the entries, which take their shares without the leader.
 *
 * The two fractions add up to less than 1, because entries and endpoints count calls at slightly different times.
 */
export const ownFraction = 0.35;

/** The leader's decision on a request for one retry. */
export interface RetryGrant {
    readonly isGranted: boolean;
    /** Time for which the entry asks for no further retry of the service, in milliseconds; 0 if one was granted. */
    readonly delay: Milliseconds;
}
