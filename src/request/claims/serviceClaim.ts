import { createHash } from "node:crypto";
import type { ClaimDecision, ClaimResult, StoredResponse } from "../../process/claims/claimCommand.js";
import { defaultClaimLimits } from "../../process/claims/claimTable.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { RequestContext } from "../requestContext.js";

/** Maximum length of an idempotency key, in characters. */
export const maximumIdempotencyKeyLength = 200;

/** Interval at which a claim held by another request is polled, in milliseconds. */
const claimPollInterval: Milliseconds = 100;

/** Maximum time that a repeated request waits for the response of the request holding the claim, in milliseconds. */
const maximumClaimWait: Milliseconds = 2_000;

/** Time added to twice the total target, in milliseconds; after both, the outcome of an unsettled claim is unknown. */
const claimTimeoutMargin: Milliseconds = 60_000;

/** The claim for one call that may run at most once. */
export class ServiceClaim {
    private readonly claimKey;

    /**
     * @param context The call.
     * @param idempotencyKey Key sent by the caller; if undefined, repeats of the call cannot be recognised.
     */
    constructor(private readonly context: RequestContext, idempotencyKey: string | undefined) {
        this.claimKey = {
            team: context.identity?.team.name ?? "",
            idempotencyKey: idempotencyKey ?? context.requestId,
            requestId: context.requestId,
        };
    }

    /** Claims the call; if another request holds the claim, polls for its result for a limited time. */
    async claim(): Promise<Result<ClaimDecision, Failure>> {
        const { context } = this;
        const { clock, claimStore, resolvedRoute, callerAbortSignal } = context;
        const waitTime = Math.min(maximumClaimWait, resolvedRoute.requestClass.target.totalMilliseconds);
        const pollUntil = clock.now() + waitTime;
        const timeoutAt = Math.ceil(
            clock.unixNow() + resolvedRoute.requestClass.target.totalMilliseconds * 2 + claimTimeoutMargin,
        );
        const request = { ...this.claimKey, requestDigest: this.digest(), timeoutAt };
        for (;;) {
            const decision = await claimStore.claim(request, clock.now());
            const mustPoll = decision.ok && decision.val.kind === "claimed" && clock.now() < pollUntil;
            if (!mustPoll || callerAbortSignal.aborted) {
                return decision;
            }
            await clock.sleep(claimPollInterval, callerAbortSignal);
        }
    }

    /** Records the result of the call after its claim was granted. */
    settle(result: ClaimResult["result"]): void {
        this.context.claimStore.settle({ ...this.claimKey, result });
    }

    /** Records the response; repeats receive it unless its body is too large to store. */
    settleWithResponse(response: StoredResponse): void {
        const isStorable = response.body.length <= defaultClaimLimits.maximumResponseBytes;
        this.settle(
            isStorable ? { kind: "answered", answer: response } : { kind: "answeredUnkept", status: response.status },
        );
    }

    /** Digest of the method, URL and body of the call. */
    private digest(): string {
        const { request, body } = this.context;
        const hash = createHash("sha256").update(`${request.method ?? ""}\n${request.url ?? ""}\n`);
        return hash.update(body).digest("hex");
    }
}
