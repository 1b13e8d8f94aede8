import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../process/claims/claimCommand.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";

/** Where entries claim requests that may run at most once. */
export abstract class ClaimStore {
    /**
     * Claims a request; only after `granted` may a byte of it leave the entry.
     *
     * @param now The present monotonic time; a claim that is not confirmed within a bound after it fails.
     * @returns What was decided for good, or `claimUnconfirmed`: then no byte may leave, and the claim is given back.
     */
    abstract claim(request: ClaimRequest, now: Milliseconds): Promise<Result<ClaimDecision, Failure>>;

    /** Records what became of a granted claim; it is sent until it was taken. */
    abstract settle(result: ClaimResult): void;
}
