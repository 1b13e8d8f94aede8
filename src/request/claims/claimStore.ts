import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../process/claims/claimCommand.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";

/** Store in which entries claim requests that may run at most once. */
export abstract class ClaimStore {
    /**
     * Claims a request; the entry may send bytes of it to an endpoint only if the decision is `granted`.
     *
     * @param now Current monotonic time in milliseconds; the claim fails unless confirmed within a limit after it.
     * @returns The final decision, or the failure `claimUnconfirmed`: no byte may be sent, and the claim is released.
     */
    abstract claim(request: ClaimRequest, now: Milliseconds): Promise<Result<ClaimDecision, Failure>>;

    /** Records the result of a granted claim; it is sent again until it is accepted. */
    abstract settle(result: ClaimResult): void;
}
