import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity, Preemption } from "../admissionQueue.js";
import type { LoadShedder } from "./loadShedder.js";
import type { PoolSummaryBuilder } from "./poolSummaryBuilder.js";
import type { RemoteLoad } from "./remoteLoad.js";
import type { RunningRequests } from "./runningRequests.js";
import type { TierQueues } from "./tierQueues.js";

/** Maximum fraction of the running requests that one call preempts; one request is always allowed. */
const maximumPreemptedFraction = 0.1;

/** Dependencies of {@link PreemptionSelector}. */
export interface PreemptionSelectorDependencies {
    readonly tierQueues: TierQueues;
    readonly running: RunningRequests;
    readonly loadShedder: LoadShedder;
    readonly summaryBuilder: PoolSummaryBuilder;
    readonly remoteLoad: RemoteLoad;
}

/**
 * Selects the running requests to preempt so that requests of higher tiers meet their targets.
 *
 * Preempts one request for each that would otherwise miss its target at this entry, and this entry's share of those at
 * others. Victims come from the lowest tier, the most recently started first, because it has the least context to
 * process again.
 */
export class PreemptionSelector {
    /** @param dependencies The state that the selection is based on. */
    constructor(private readonly dependencies: PreemptionSelectorDependencies) {}

    /** Returns the requests to preempt now and marks them as being preempted. */
    select(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[] {
        if (capacity.freeSlots > 0) {
            return [];
        }
        const { running } = this.dependencies;
        const maximumPreemptions = Math.max(1, Math.floor(running.size * maximumPreemptedFraction));
        const preemptions: Preemption[] = [];
        for (const forTier of this.tiersShortOfCapacity(capacity, now).slice(0, maximumPreemptions)) {
            const victim = running.selectVictim(forTier);
            if (victim !== undefined) {
                preemptions.push({ request: victim.request, forTier });
            }
        }
        return preemptions;
    }

    /** Returns the tier of each request that needs capacity, first those of this entry, then those of others. */
    private tiersShortOfCapacity(capacity: PoolCapacity, now: Milliseconds): readonly number[] {
        const { tierQueues, running, loadShedder, summaryBuilder, remoteLoad } = this.dependencies;
        const tiers: number[] = [];
        for (let tier = 0; tier < lowestTier; tier += 1) {
            const shortfall = Math.max(tierQueues.shortfallOf(tier, capacity, now), loadShedder.deferredCountOf(tier));
            const missing = Math.max(0, shortfall - running.preemptingCount - tiers.length);
            tiers.push(...new Array<number>(missing).fill(tier));
        }
        const remoteTier = remoteLoad.overloadedTier(now);
        const remoteShare = remoteLoad.takePreemptionShare(tier => summaryBuilder.preemptibleBelow(tier), now);
        return remoteTier === undefined ? tiers : [...tiers, ...new Array<number>(remoteShare).fill(remoteTier)];
    }
}
