import type { Milliseconds } from "../../util/clock.js";
import type { Identity } from "../../version/compiledConfiguration.js";
import type { OwnerDemand, OwnerShare } from "../control/limitAllocator.js";
import type { LimitRefusal } from "../limits/entryLimiter.js";
import { LimitTable } from "../limits/limitTable.js";
import type { EntryConfiguration } from "./entryConfiguration.js";

/** Maximum number of owners (teams and keys) whose demand is sent to control in one message. */
const maximumDemandsPerMessage = 200;

/** An admitted request, as counted against limits. */
export interface LimitedRequest {
    /** Owners of the limits: the team, and the key as `team/key`; empty on a route without authentication. */
    readonly owners: readonly string[];
    readonly expectedTokens: number;
}

/** Enforces the limits of teams and keys at one entry, according to the active configuration. */
export class RequestLimits {
    private readonly table: LimitTable;

    /** @param entries Returns the number of entries; an entry without an assigned share of a limit uses an equal one. */
    constructor(private readonly configuration: EntryConfiguration, entries: () => number) {
        this.table = new LimitTable(owner => this.configuration.current.limitsOf(owner), entries);
    }

    /**
     * Admits a request, or returns why it is refused.
     *
     * @param identity Team and key of the caller; undefined on a route without authentication, which has no limits.
     * @param expectedTokens Tokens of the prompt; {@link finish} replaces them with the actual number.
     */
    admit(identity: Identity | undefined, expectedTokens: number, now: Milliseconds): LimitedRequest | LimitRefusal {
        const owners = identity === undefined
            ? []
            : [identity.team.name, `${identity.team.name}/${identity.key.name}`];
        return this.table.admit(owners, expectedTokens, now) ?? { owners, expectedTokens };
    }

    /** Ends an admitted request and replaces its expected tokens with the actual number. */
    finish(request: LimitedRequest, actualTokens: number, now: Milliseconds): void {
        this.table.finish(request.owners, request.expectedTokens, actualTokens, now);
    }

    /** Returns the demand since the previous call, for control. */
    takeDemands(now: Milliseconds): readonly OwnerDemand[] {
        return [...this.table.takeDemands(now)].slice(0, maximumDemandsPerMessage).map(([owner, demand]) => ({
            owner,
            ...demand,
        }));
    }

    /** Sets the shares that control has assigned to this entry. */
    setShares(shares: readonly OwnerShare[], now: Milliseconds): void {
        shares.forEach(({ owner, part }) => {
            this.table.setShare(owner, part, now);
        });
    }

    /** Discards the assigned shares that control has not renewed in time; equal shares apply instead. */
    expireShares(now: Milliseconds): void {
        this.table.expireShares(now);
    }
}
