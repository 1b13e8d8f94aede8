import type { Milliseconds } from "../../util/clock.js";
import type { Limits } from "../../version/manifest.js";
import { LimitAccount } from "./entryLimiter.js";
import type { LimitDemand, LimitRefusal, LimitShare } from "./entryLimiter.js";

/** Names whose limits apply to a request: its team, and its key as `team/key`. */
export type LimitOwner = string;

/**
 * The limits of all teams and keys at one entry.
 *
 * A part that control gave holds until the next one; before the first, and where control is silent for longer than
 * {@link partLifetime}, each entry uses an even part. The parts of rates then add up to the limit; of concurrent
 * requests each entry allows at least one.
 */
export class LimitTable {
    private readonly accounts = new Map<LimitOwner, LimitAccount>();
    private readonly givenParts = new Map<LimitOwner, { readonly part: LimitShare; readonly givenAt: Milliseconds; }>();

    /**
     * @param limitsOf Gives the limits of a team or key over all entries; undefined where it has none.
     * @param entries Gives the number of entries.
     */
    constructor(
        private readonly limitsOf: (owner: LimitOwner) => Limits | undefined,
        private readonly entries: () => number,
    ) {}

    /** Number of teams and keys that are remembered. */
    get size(): number {
        return this.accounts.size;
    }

    /** Admits a request if every limit allows it; otherwise none counts it. */
    admit(owners: readonly LimitOwner[], expectedTokens: number, now: Milliseconds): LimitRefusal | undefined {
        const accounts = owners.flatMap(owner => this.accountOf(owner, now) ?? []);
        const refusals = accounts.flatMap(account => account.check(expectedTokens, now) ?? []);
        if (refusals.length > 0) {
            return refusals.reduce((one, other) => other.retryAfter > one.retryAfter ? other : one);
        }
        accounts.forEach(account => {
            account.admit(expectedTokens, now);
        });
        return undefined;
    }

    /** Ends an admitted request and corrects the tokens that were counted for it. */
    finish(owners: readonly LimitOwner[], expectedTokens: number, actualTokens: number, now: Milliseconds): void {
        for (const owner of owners) {
            this.accounts.get(owner)?.finish(expectedTokens, actualTokens, now);
        }
    }

    /** Takes in the part that control gave this entry. */
    setShare(owner: LimitOwner, part: LimitShare, now: Milliseconds): void {
        this.givenParts.set(owner, { part, givenAt: now });
        this.accounts.get(owner)?.setPart(part, now);
    }

    /** Falls back to even parts where control was silent for too long. */
    expireShares(now: Milliseconds): void {
        for (const [owner, { givenAt }] of this.givenParts) {
            if (now - givenAt > partLifetime) {
                this.givenParts.delete(owner);
                this.accounts.get(owner)?.setPart(this.evenPart(owner), now);
            }
        }
    }

    /** The demand for each limit since the last call; teams and keys without demand are left out and forgotten. */
    takeDemands(now: Milliseconds): ReadonlyMap<LimitOwner, LimitDemand> {
        const demands = new Map<LimitOwner, LimitDemand>();
        for (const [owner, account] of this.accounts) {
            const demand = account.takeDemand();
            if (demand.requests > 0 || demand.concurrent > 0) {
                demands.set(owner, demand);
            }
            else if (account.isForgettable(now)) {
                this.accounts.delete(owner);
            }
        }
        return demands;
    }

    private accountOf(owner: LimitOwner, now: Milliseconds): LimitAccount | undefined {
        let account = this.accounts.get(owner);
        if (account === undefined && this.limitsOf(owner) !== undefined) {
            account = new LimitAccount(this.givenParts.get(owner)?.part ?? this.evenPart(owner), now);
            this.accounts.set(owner, account);
        }
        return account;
    }

    private evenPart(owner: LimitOwner): LimitShare {
        const limits = this.limitsOf(owner) ?? {};
        const divide = (limit: number | undefined): number | undefined => {
            return limit === undefined ? undefined : limit / this.entries();
        };
        const { concurrentRequests } = limits;
        return {
            ...optional("requestsPerSecond", divide(limits.requestsPerSecond)),
            ...optional("tokensPerMinute", divide(limits.tokensPerMinute)),
            ...optional(
                "concurrentRequests",
                concurrentRequests === undefined
                    ? undefined
                    : Math.max(1, Math.floor(concurrentRequests / this.entries())),
            ),
        };
    }
}

/** Age beyond which a part that control gave is replaced by an even one, in milliseconds. */
export const partLifetime: Milliseconds = 5_000;

function optional<Name extends keyof LimitShare>(name: Name, value: number | undefined): LimitShare {
    return value === undefined ? {} : { [name]: value };
}
