import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { PoolSummary, TierSummary } from "./poolSummary.js";
import type { RunningRequests } from "./runningRequests.js";
import type { TierQueues } from "./tierQueues.js";

/** Collects the load of a queue between two summaries and builds the summary for the other entries. */
export class PoolSummaryBuilder {
    private readonly startedOutputTokens = new Array<number>(lowestTier + 1).fill(0);
    private readonly unservedCounts = new Array<number>(lowestTier + 1).fill(0);

    /**
     * @param tierQueues The waiting requests.
     * @param running The running requests.
     */
    constructor(
        private readonly tierQueues: TierQueues,
        private readonly running: RunningRequests,
    ) {}

    /** Records that a request started by tier order, not through the service floor; counts at least 1 token. */
    recordStarted(tier: number, outputTokens: number): void {
        this.startedOutputTokens[tier] = (this.startedOutputTokens[tier] ?? 0) + Math.max(1, outputTokens);
    }

    /** Records that a request of a tier caused shedding, or that its shedding was deferred for lack of capacity. */
    recordUnserved(tier: number): void {
        this.unservedCounts[tier] = (this.unservedCounts[tier] ?? 0) + 1;
    }

    /** Number of this entry's running requests below a tier that may be preempted. */
    preemptibleBelow(tier: number): number {
        let sum = 0;
        for (let lowerTier = tier + 1; lowerTier <= lowestTier; lowerTier += 1) {
            sum += this.running.preemptibleCountOf(lowerTier);
        }
        return sum;
    }

    /** Builds a summary and resets the counts for the next one. */
    summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary {
        const tiers = [...this.tierQueues.tiers.keys()].map(tier => this.summarizeTier(tier, capacity, now));
        this.startedOutputTokens.fill(0);
        this.unservedCounts.fill(0);
        return { pool, entries: 1, tiers };
    }

    private summarizeTier(tier: number, capacity: PoolCapacity, now: Milliseconds): TierSummary {
        const tierQueue = this.tierQueues.tierQueueOf(tier);
        const oldest = tierQueue.oldestArrival;
        const shortfall = this.tierQueues.shortfallOf(tier, capacity, now);
        return {
            queued: tierQueue.size,
            preemptible: this.running.preemptibleCountOf(tier),
            startedOutputTokens: Math.ceil(this.startedOutputTokens[tier] ?? 0),
            oldestWait: oldest === undefined ? 0 : now - oldest,
            shortfall: Math.max(shortfall, this.unservedCounts[tier] ?? 0),
        };
    }
}
