import type { LimitStatement } from "../../../connection/hosted/rateLimitMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { GrantDecision } from "../grantDecision.js";
import type { RetryGrant } from "../retryPolicy.js";

/** Asks the leader for permission to send calls that all entries together must limit. */
export abstract class GrantSource {
    /** Identifies the process that leads, as far as this entry knows; undefined if none is known. */
    abstract get leaderId(): string | undefined;

    /**
     * Asks for one call to an endpoint.
     *
     * @param maximumDelay Longest delay of the call that is acceptable.
     * @param statement What this entry knows of the limit and the leader may not.
     * @returns The decision; undefined if no leader decides in time.
     */
    abstract requestGrant(
        endpoint: string,
        maximumDelay: Milliseconds,
        statement: LimitStatement | undefined,
    ): Promise<GrantDecision | undefined>;

    /**
     * Asks for one retry of a service's calls, from the budget that all entries share.
     *
     * @returns The decision; undefined if no leader decides in time.
     */
    abstract requestRetry(service: string): Promise<RetryGrant | undefined>;

    /**
     * Asks whether a call that is held back may be let through.
     *
     * @param feature Feature because of which calls to the service are held back.
     * @param features All features of the call.
     * @returns False also if no leader decides in time.
     */
    abstract requestTrial(service: string, feature: string, features: readonly string[]): Promise<boolean>;
}
