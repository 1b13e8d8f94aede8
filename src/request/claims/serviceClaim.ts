import { createHash } from "node:crypto";
import type { ClaimDecision, ClaimResult, StoredResponse } from "../../process/claims/claimCommand.js";
import { defaultClaimLimits } from "../../process/claims/claimTable.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { RequestContext } from "../requestContext.js";

/** Longest idempotency key, in characters. */
export const maximumIdempotencyKeyLength = 200;

/** How often a claim that another request holds is asked for again, in milliseconds. */
const heldInterval: Milliseconds = 100;

/** Longest time for which a repeat waits for the answer of the request that holds the claim, in milliseconds. */
const longestHeldWait: Milliseconds = 2_000;

/** Time beyond a class's target after which an unanswered claim counts as one of unknown outcome, in milliseconds. */
const timeoutMargin: Milliseconds = 60_000;

/** The claim of one call that may run at most once. */
export class ServiceClaim {
    private readonly key;

    /** @param idempotencyKey The caller's, or undefined where it sent none: then no repeat can be recognised. */
    constructor(private readonly context: RequestContext, idempotencyKey: string | undefined) {
        this.key = {
            team: context.identity?.team.name ?? "",
            idempotencyKey: idempotencyKey ?? context.requestId,
            requestId: context.requestId,
        };
    }

    /** Claims the call; where another request holds the claim, waits a while for its answer. */
    async claim(): Promise<Result<ClaimDecision, Failure>> {
        const { context } = this;
        const { clock, claimStore: claims, resolvedRoute: resolved, callerAbortSignal: callerLeft } = context;
        const patience = Math.min(longestHeldWait, resolved.requestClass.target.totalMilliseconds);
        const giveUpAt = clock.now() + patience;
        const timeoutAt = Math.ceil(
            clock.unixNow() + resolved.requestClass.target.totalMilliseconds * 2 + timeoutMargin,
        );
        const request = { ...this.key, requestDigest: this.digest(), timeoutAt };
        for (;;) {
            const decided = await claims.claim(request, clock.now());
            const waits = decided.ok && decided.val.kind === "claimed" && clock.now() < giveUpAt;
            if (!waits || callerLeft.aborted) {
                return decided;
            }
            await clock.sleep(heldInterval, callerLeft);
        }
    }

    /** Records what became of the call after it was granted. */
    settle(result: ClaimResult["result"]): void {
        this.context.claimStore.settle({ ...this.key, result });
    }

    /** Records its answer, which repeats get as far as it is small enough to keep. */
    settleAnswer(answer: StoredResponse): void {
        const kept = answer.body.length <= defaultClaimLimits.maximumResponseBytes;
        this.settle(kept ? { kind: "answered", answer } : { kind: "answeredUnkept", status: answer.status });
    }

    /** Digest of all that makes the call what it is. */
    private digest(): string {
        const { request, body } = this.context;
        const hash = createHash("sha256").update(`${request.method ?? ""}\n${request.url ?? ""}\n`);
        return hash.update(body).digest("hex");
    }
}
