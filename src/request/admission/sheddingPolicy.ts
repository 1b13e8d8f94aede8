import type { QueuedRequest } from "./teamQueue.js";
import type { TierQueue } from "./tierQueue.js";

/** Selects the waiting request of a tier that is shed. */
export abstract class SheddingPolicy {
    /** Returns the request to shed; undefined if the tier has none that may be shed. */
    abstract selectVictim(tierQueue: TierQueue): QueuedRequest | undefined;
}

/** Sheds the newest request regardless of team, so that a burst of one team displaces the requests of others. */
export class NewestRequestPolicy extends SheddingPolicy {
    override selectVictim(tierQueue: TierQueue): QueuedRequest | undefined {
        return tierQueue.newest();
    }
}

/**
 * Sheds the newest request of the team with the most queued tokens relative to its weight.
 *
 * This is "Longest Queue Drop" for shared buffers (Wei et al., 1991): a team that sends a burst loses its own requests.
 */
export class LongestQueueDropPolicy extends SheddingPolicy {
    override selectVictim(tierQueue: TierQueue): QueuedRequest | undefined {
        return tierQueue.newestOfLargestTeamQueue();
    }
}
