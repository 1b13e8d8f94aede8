import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../process/claims/claimCommand.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";

/** Store in which entries claim requests that may run at most once. */
export abstract class ClaimStore {
    /**
     * Claims a request; the entry may send any part of it to an endpoint only if the decision is `granted`.
     *
     * @param now Current monotonic time in milliseconds; the claim fails if not confirmed within a time limit.
     * @returns The final decision, or the failure `claimUnconfirmed`: nothing may be sent, and the claim is released.
     */
    abstract claim(request: ClaimRequest, now: Milliseconds): Promise<Result<ClaimDecision, Failure>>;

    /** Records the result of a granted claim; it is sent again until it is accepted. */
    abstract settle(result: ClaimResult): void;
}
