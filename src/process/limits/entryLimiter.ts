import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import { RateLimiter } from "./rateLimiter.js";

/** Burst size of a rate limit in seconds: the burst is the amount that the rate permits in this time. */
export const burstSeconds = 2;

/** `Retry-After` of a refusal by the limit on concurrent requests, in milliseconds. */
const concurrencyRetryAfter: Milliseconds = 1_000;

/** An entry's share of the limits of one team or key; quantities without a limit are absent. */
export type LimitShare = Limits;

/** Refusal of a request that exceeds a limit. */
export interface LimitRefusal {
    readonly code: ResultCode;
    readonly retryAfter: Milliseconds;
}

/** An entry's demand for each limit of one team or key since its demand was last taken. */
export interface LimitDemand {
    readonly requests: number;
    readonly tokens: number;
    /** Peak number of concurrent requests, including those that were refused. */
    readonly concurrent: number;
}

/** Enforces an entry's share of the limits of one team or key, and measures the demand. */
export class EntryLimiter {
    private requestLimiter: RateLimiter | undefined;
    private tokenLimiter: RateLimiter | undefined;
    private maximumRunningRequests = Infinity;
    private runningRequests = 0;
    private demandedRequests = 0;
    private demandedTokens = 0;
    private peakConcurrentDemand = 0;

    /**
     * @param share This entry's share.
     * @param now Current time in monotonic milliseconds.
     */
    constructor(share: LimitShare, now: Milliseconds) {
        this.setShare(share, now);
    }

    /** Whether no request is running and the rate limiters are idle, so that the limiter can be discarded. */
    isIdle(now: Milliseconds): boolean {
        const ratesIdle = [this.requestLimiter, this.tokenLimiter].every(limiter => limiter?.isIdle(now) ?? true);
        return this.runningRequests === 0 && ratesIdle;
    }

    /** Changes this entry's share; usage counted so far is kept. */
    setShare(share: LimitShare, now: Milliseconds): void {
        this.requestLimiter = updateLimiter(this.requestLimiter, share.requestsPerSecond, now);
        this.tokenLimiter = updateLimiter(
            this.tokenLimiter,
            share.tokensPerMinute === undefined ? undefined : share.tokensPerMinute / 60,
            now,
        );
        this.maximumRunningRequests = share.concurrentRequests ?? Infinity;
    }

    /**
     * Checks whether a request may be admitted; counts its demand but no usage.
     *
     * @param expectedTokens Tokens that the request is expected to use; {@link finish} replaces them by the actual
     * ones.
     */
    check(expectedTokens: number, now: Milliseconds): LimitRefusal | undefined {
        this.demandedRequests += 1;
        this.demandedTokens += expectedTokens;
        this.peakConcurrentDemand = Math.max(this.peakConcurrentDemand, this.runningRequests + 1);
        const requestDecision = this.requestLimiter?.check(1, now);
        if (requestDecision?.kind === "exceeding") {
            return { code: "requestRateExceeded", retryAfter: requestDecision.retryAfter };
        }
        const tokenDecision = this.tokenLimiter?.check(expectedTokens, now);
        if (tokenDecision?.kind === "exceeding") {
            return { code: "tokenRateExceeded", retryAfter: tokenDecision.retryAfter };
        }
        if (this.runningRequests >= this.maximumRunningRequests) {
            return { code: "concurrencyExceeded", retryAfter: concurrencyRetryAfter };
        }
        return undefined;
    }

    /** Counts an admitted request. */
    admit(expectedTokens: number, now: Milliseconds): void {
        this.requestLimiter?.count(1, now);
        this.tokenLimiter?.count(expectedTokens, now);
        this.runningRequests += 1;
    }

    /** Ends an admitted request and replaces its expected tokens by its actual ones. */
    finish(expectedTokens: number, actualTokens: number, now: Milliseconds): void {
        this.tokenLimiter?.count(actualTokens - expectedTokens, now);
        this.runningRequests -= 1;
    }

    /** Returns the demand since the previous call and resets it. */
    takeDemand(): LimitDemand {
        const demand = {
            requests: this.demandedRequests,
            tokens: this.demandedTokens,
            concurrent: this.peakConcurrentDemand,
        };
        this.demandedRequests = 0;
        this.demandedTokens = 0;
        this.peakConcurrentDemand = this.runningRequests;
        return demand;
    }
}

function updateLimiter(
    existing: RateLimiter | undefined,
    amountPerSecond: number | undefined,
    now: Milliseconds,
): RateLimiter | undefined {
    if (amountPerSecond === undefined) {
        return undefined;
    }
    const burstAmount = amountPerSecond * burstSeconds;
    if (existing === undefined) {
        return new RateLimiter(amountPerSecond, burstAmount);
    }
    existing.setRate(amountPerSecond, burstAmount, now);
    return existing;
}
