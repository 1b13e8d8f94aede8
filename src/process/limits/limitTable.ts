import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import { EntryLimiter } from "./entryLimiter.js";
import type { LimitDemand, LimitRefusal, LimitShare } from "./entryLimiter.js";

/** Name of a team, or of a key as `team/key`, that has limits of its own. */
export type LimitOwner = string;

/**
 * Enforces the limits of all teams and keys at one entry.
 *
 * A share assigned by a control process applies until the next one. Before the first, and after more than
 * {@link shareLifetime} without a new one, each entry uses an equal share. Equal shares of a rate add up to the limit.
 * An equal share of concurrent requests is at least one, so the sum exceeds a limit below the number of entries.
 */
export class LimitTable {
    private readonly limiters = new Map<LimitOwner, EntryLimiter>();
    private readonly assignedShares = new Map<
        LimitOwner,
        { readonly share: LimitShare; readonly assignedAt: Milliseconds; }
    >();

    /**
     * @param limitsOf Returns the limits of a team or key across all entries; undefined if it has none.
     * @param entryCount Returns the number of entries.
     */
    constructor(
        private readonly limitsOf: (owner: LimitOwner) => Limits | undefined,
        private readonly entryCount: () => number,
    ) {}

    /** Number of teams and keys with a limiter. */
    get size(): number {
        return this.limiters.size;
    }

    /**
     * Admits a request if the limits of all owners allow it; otherwise counts no usage and returns the refusal with
     * the longest wait.
     */
    admit(owners: readonly LimitOwner[], expectedTokens: number, now: Milliseconds): LimitRefusal | undefined {
        const limiters = owners.flatMap(owner => this.limiterOf(owner, now) ?? []);
        const refusals = limiters.flatMap(limiter => limiter.check(expectedTokens, now) ?? []);
        if (refusals.length > 0) {
            return refusals.reduce((longest, other) => other.retryAfter > longest.retryAfter ? other : longest);
        }
        limiters.forEach(limiter => {
            limiter.admit(expectedTokens, now);
        });
        return undefined;
    }

    /** Ends an admitted request and replaces its expected tokens by its actual ones. */
    finish(owners: readonly LimitOwner[], expectedTokens: number, actualTokens: number, now: Milliseconds): void {
        for (const owner of owners) {
            this.limiters.get(owner)?.finish(expectedTokens, actualTokens, now);
        }
    }

    /** Applies a share that a control process assigned to this entry. */
    setShare(owner: LimitOwner, share: LimitShare, now: Milliseconds): void {
        this.assignedShares.set(owner, { share, assignedAt: now });
        this.limiters.get(owner)?.setShare(share, now);
    }

    /** Replaces shares older than {@link shareLifetime} by equal shares. */
    expireShares(now: Milliseconds): void {
        for (const [owner, { assignedAt }] of this.assignedShares) {
            if (now - assignedAt > shareLifetime) {
                this.assignedShares.delete(owner);
                this.limiters.get(owner)?.setShare(this.equalShare(owner), now);
            }
        }
    }

    /**
     * Returns and resets the demand since the previous call; omits owners without demand and discards their idle
     * limiters.
     */
    takeDemands(now: Milliseconds): ReadonlyMap<LimitOwner, LimitDemand> {
        const demands = new Map<LimitOwner, LimitDemand>();
        for (const [owner, limiter] of this.limiters) {
            const demand = limiter.takeDemand();
            if (demand.requests > 0 || demand.concurrent > 0) {
                demands.set(owner, demand);
            }
            else if (limiter.isIdle(now)) {
                this.limiters.delete(owner);
            }
        }
        return demands;
    }

    private limiterOf(owner: LimitOwner, now: Milliseconds): EntryLimiter | undefined {
        let limiter = this.limiters.get(owner);
        if (limiter === undefined && this.limitsOf(owner) !== undefined) {
            limiter = new EntryLimiter(this.assignedShares.get(owner)?.share ?? this.equalShare(owner), now);
            this.limiters.set(owner, limiter);
        }
        return limiter;
    }

    private equalShare(owner: LimitOwner): LimitShare {
        const limits = this.limitsOf(owner) ?? {};
        const divide = (limit: number | undefined): number | undefined => {
            return limit === undefined ? undefined : limit / this.entryCount();
        };
        const { concurrentRequests } = limits;
        return {
            ...optionalLimit("requestsPerSecond", divide(limits.requestsPerSecond)),
            ...optionalLimit("tokensPerMinute", divide(limits.tokensPerMinute)),
            ...optionalLimit(
                "concurrentRequests",
                concurrentRequests === undefined
                    ? undefined
                    : Math.max(1, Math.floor(concurrentRequests / this.entryCount())),
            ),
        };
    }
}

/** Age above which an assigned share is replaced by an equal share, in milliseconds. */
export const shareLifetime: Milliseconds = 5_000;

function optionalLimit<Name extends keyof LimitShare>(name: Name, value: number | undefined): LimitShare {
    return value === undefined ? {} : { [name]: value };
}
