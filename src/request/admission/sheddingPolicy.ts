import type { QueuedRequest } from "./teamQueue.js";
import type { TierQueue } from "./tierQueue.js";

/** Chooses which waiting request of the lowest tier is shed. */
export abstract class VictimChoice {
    /** The request to shed; undefined when none of the tier may be shed. */
    abstract choose(tier: TierQueue): QueuedRequest | undefined;
}

/** The request that arrived last, whatever its team: one team's flood pushes out the others. */
export class NewestRequestPolicy extends VictimChoice {
    override choose(tier: TierQueue): QueuedRequest | undefined {
        return tier.youngest();
    }
}

/**
 * The youngest request of the team whose waiting requests exceed its weight the most.
 *
 * The rule by which a shared buffer drops from the longest queue ("Longest Queue Drop", Wei et al., 1991), so that a
 * team that floods loses its own requests.
 */
export class HeaviestTeamVictim extends VictimChoice {
    override choose(tier: TierQueue): QueuedRequest | undefined {
        return tier.heaviestTeamsYoungest();
    }
}
