import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import { RateLimiter } from "./rateLimiter.js";

/** Amount that may come at once after a pause, as the time in which the rate gives it, in seconds. */
export const burstSeconds = 2;

/** When a caller should come back after a refusal for want of a concurrent slot, in milliseconds. */
const concurrencyRetryAfter: Milliseconds = 1_000;

/** An entry's part of the limits of one team or key; absent parts are not limited. */
export type LimitShare = Limits;

/** Why a request exceeds a limit. */
export interface LimitRefusal {
    readonly code: ResultCode;
    readonly retryAfter: Milliseconds;
}

/** What an entry wanted of each limit since the last division. */
export interface LimitDemand {
    readonly requests: number;
    readonly tokens: number;
    /** Largest number of requests that ran or were wanted at once. */
    readonly concurrent: number;
}

/** Applies an entry's part of the limits of one team or key, and measures what it would have used. */
export class LimitAccount {
    private requests: RateLimiter | undefined;
    private tokens: RateLimiter | undefined;
    private concurrentLimit = Infinity;
    private running = 0;
    private wantedRequests = 0;
    private wantedTokens = 0;
    private mostWanted = 0;

    /**
     * @param part This entry's part.
     * @param now The present time.
     */
    constructor(part: LimitShare, now: Milliseconds) {
        this.setPart(part, now);
    }

    /** Whether nothing runs and nothing that was counted matters any more. */
    isForgettable(now: Milliseconds): boolean {
        const settled = [this.requests, this.tokens].every(limiter => limiter?.isSettled(now) ?? true);
        return this.running === 0 && settled;
    }

    /** Changes this entry's part; what was used before keeps counting. */
    setPart(part: LimitShare, now: Milliseconds): void {
        this.requests = changed(this.requests, part.requestsPerSecond, now);
        this.tokens = changed(
            this.tokens,
            part.tokensPerMinute === undefined ? undefined : part.tokensPerMinute / 60,
            now,
        );
        this.concurrentLimit = part.concurrentRequests ?? Infinity;
    }

    /**
     * Tells whether a request may be admitted; it counts only the demand.
     *
     * @param expectedTokens Prompt tokens and predicted output tokens.
     */
    check(expectedTokens: number, now: Milliseconds): LimitRefusal | undefined {
        this.wantedRequests += 1;
        this.wantedTokens += expectedTokens;
        this.mostWanted = Math.max(this.mostWanted, this.running + 1);
        const requests = this.requests?.check(1, now);
        if (requests?.kind === "exceeding") {
            return { code: "requestRateExceeded", retryAfter: requests.retryAfter };
        }
        const tokens = this.tokens?.check(expectedTokens, now);
        if (tokens?.kind === "exceeding") {
            return { code: "tokenRateExceeded", retryAfter: tokens.retryAfter };
        }
        if (this.running >= this.concurrentLimit) {
            return { code: "concurrencyExceeded", retryAfter: concurrencyRetryAfter };
        }
        return undefined;
    }

    /** Counts a request that was admitted. */
    admit(expectedTokens: number, now: Milliseconds): void {
        this.requests?.count(1, now);
        this.tokens?.count(expectedTokens, now);
        this.running += 1;
    }

    /** Ends an admitted request and corrects its tokens. */
    finish(expectedTokens: number, actualTokens: number, now: Milliseconds): void {
        this.tokens?.count(actualTokens - expectedTokens, now);
        this.running -= 1;
    }

    /** Takes the demand since the last call. */
    takeDemand(): LimitDemand {
        const demand = { requests: this.wantedRequests, tokens: this.wantedTokens, concurrent: this.mostWanted };
        this.wantedRequests = 0;
        this.wantedTokens = 0;
        this.mostWanted = this.running;
        return demand;
    }
}

function changed(
    before: RateLimiter | undefined,
    perSecond: number | undefined,
    now: Milliseconds,
): RateLimiter | undefined {
    if (perSecond === undefined) {
        return undefined;
    }
    const burst = perSecond * burstSeconds;
    if (before === undefined) {
        return new RateLimiter(perSecond, burst);
    }
    before.setRate(perSecond, burst, now);
    return before;
}
