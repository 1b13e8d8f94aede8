import type { Milliseconds } from "../../util/clock.js";
import type { Identity } from "../../version/compiledConfiguration.js";
import type { OwnerDemand, OwnerPart } from "../control/limitDivision.js";
import type { LimitRefusal } from "../limits/entryLimiter.js";
import { LimitTable } from "../limits/limitTable.js";
import type { EntryConfiguration } from "./entryConfiguration.js";

/** Owners whose demand is told to control in one message at most. */
const maximumDemands = 200;

/** An admitted request as the limits count it. */
export interface LimitedRequest {
    readonly owners: readonly string[];
    readonly expectedTokens: number;
}

/** The limits of teams and keys at one entry, by the configuration in force. */
export class RequestLimits {
    private readonly table: LimitTable;

    /** @param entries Gives the number of entries, for even parts before control has divided a limit. */
    constructor(private readonly configuration: EntryConfiguration, entries: () => number) {
        this.table = new LimitTable(owner => this.configuration.current.limitsOf(owner), entries);
    }

    /**
     * Admits a request, or says which limit it exceeds.
     *
     * @param expectedTokens Tokens of the prompt; those of the answer are counted when it has ended.
     */
    admit(identity: Identity | undefined, expectedTokens: number, now: Milliseconds): LimitedRequest | LimitRefusal {
        const owners = identity === undefined
            ? []
            : [identity.team.name, `${identity.team.name}/${identity.key.name}`];
        return this.table.admit(owners, expectedTokens, now) ?? { owners, expectedTokens };
    }

    /** Ends an admitted request. */
    finish(request: LimitedRequest, actualTokens: number, now: Milliseconds): void {
        this.table.finish(request.owners, request.expectedTokens, actualTokens, now);
    }

    /** The demands since the last call, for control. */
    takeDemands(now: Milliseconds): readonly OwnerDemand[] {
        return [...this.table.takeDemands(now)].slice(0, maximumDemands).map(([owner, demand]) => ({
            owner,
            ...demand,
        }));
    }

    /** Takes the parts that control gave this entry. */
    takeParts(parts: readonly OwnerPart[], now: Milliseconds): void {
        parts.forEach(({ owner, part }) => {
            this.table.setShare(owner, part, now);
        });
    }

    /** Falls back to even parts where control was silent for too long. */
    sweep(now: Milliseconds): void {
        this.table.expireShares(now);
    }
}
