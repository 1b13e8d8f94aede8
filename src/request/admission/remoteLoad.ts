import type { Milliseconds } from "../../util/clock.js";
import { emptyTier } from "./poolSummary.js";
import type { PoolSummary } from "./poolSummary.js";

/** Interval at which an entry sends its summary of a pool under load, in milliseconds. */
export const summaryInterval: Milliseconds = 500;

/** Age after which the summary of the other entries is stale, in milliseconds. */
export const summaryLifetime: Milliseconds = 3_000;

/** How long an entry waits for others to free capacity before it sheds a request, in milliseconds. */
export const sheddingDelay: Milliseconds = 1_500;

/** Load of a pool at the other entries, as known to this entry. */
export abstract class RemoteLoad {
    /**
     * The highest tier whose targets other entries cannot meet; this entry then starts no requests of lower tiers.
     *
     * Undefined if no such tier is known.
     */
    abstract overloadedTier(now: Milliseconds): number | undefined;

    /** Whether other entries may be starting requests below a tier or running preemptible ones. */
    abstract hasLowerTierWork(tier: number, now: Milliseconds): boolean;

    /**
     * Output tokens per second that this entry gains for a tier if the other entries stop starting lower tiers.
     *
     * @param queued Waiting requests of the tier at this entry; the gain is proportional to their share of all entries.
     */
    abstract yieldedTokensPerSecond(tier: number, queued: number, now: Milliseconds): number;

    /**
     * Number of requests that this entry should preempt on behalf of others; 0 after the first call for each summary.
     *
     * @param ownPreemptibleBelow Returns the number of this entry's preemptible requests below a tier.
     */
    abstract takePreemptionShare(ownPreemptibleBelow: (tier: number) => number, now: Milliseconds): number;
}

/** Reports no load at other entries; for a single entry, and as the baseline without coordination. */
export class NoRemoteLoad extends RemoteLoad {
    override overloadedTier(): number | undefined {
        return undefined;
    }

    override hasLowerTierWork(): boolean {
        return false;
    }

    override yieldedTokensPerSecond(): number {
        return 0;
    }

    override takePreemptionShare(): number {
        return 0;
    }
}

/**
 * Load of the other entries according to the latest sum of their summaries.
 *
 * A sum older than {@link summaryLifetime} is ignored: this entry no longer withholds lower tiers for others, and
 * shedding is delayed by {@link sheddingDelay}, because others might still run lower tiers.
 */
export class SummaryRemoteLoad extends RemoteLoad {
    private others: PoolSummary | undefined;
    private receivedAt: Milliseconds = -Infinity;
    private preemptionShareTaken = false;

    /** Stores the latest sum over the other entries. */
    update(others: PoolSummary, now: Milliseconds): void {
        this.others = others;
        this.receivedAt = now;
        this.preemptionShareTaken = false;
    }

    /** Whether there is no summary, or only one older than {@link summaryLifetime}. */
    isStale(now: Milliseconds): boolean {
        return now - this.receivedAt > summaryLifetime;
    }

    override overloadedTier(now: Milliseconds): number | undefined {
        const tier = this.freshSummary(now)?.tiers.findIndex(summary => summary.shortfall > 0) ?? -1;
        return tier < 0 ? undefined : tier;
    }

    override hasLowerTierWork(tier: number, now: Milliseconds): boolean {
        const others = this.freshSummary(now);
        if (others === undefined) {
            return true;
        }
        return others.tiers.slice(tier + 1).some(summary => summary.startedOutputTokens > 0 || summary.preemptible > 0);
    }

    override yieldedTokensPerSecond(tier: number, queued: number, now: Milliseconds): number {
        const tiers = this.freshSummary(now)?.tiers;
        if (tiers === undefined || queued === 0) {
            return 0;
        }
        const startedTokensBelow = tiers.slice(tier + 1).reduce((sum, summary) => sum + summary.startedOutputTokens, 0);
        const remoteQueued = (tiers[tier] ?? emptyTier).queued;
        return (startedTokensBelow * 1_000 * queued) / summaryInterval / (queued + remoteQueued);
    }

    override takePreemptionShare(ownPreemptibleBelow: (tier: number) => number, now: Milliseconds): number {
        const others = this.freshSummary(now);
        const overloadedTier = this.overloadedTier(now);
        if (others === undefined || overloadedTier === undefined || this.preemptionShareTaken) {
            return 0;
        }
        this.preemptionShareTaken = true;
        const ownPreemptible = ownPreemptibleBelow(overloadedTier);
        const remotePreemptible = others.tiers.slice(overloadedTier + 1).reduce(
            (sum, summary) => sum + summary.preemptible,
            0,
        );
        const shortfall = (others.tiers[overloadedTier] ?? emptyTier).shortfall;
        return ownPreemptible === 0
            ? 0
            : Math.min(ownPreemptible, Math.ceil((shortfall * ownPreemptible) / (ownPreemptible + remotePreemptible)));
    }

    private freshSummary(now: Milliseconds): PoolSummary | undefined {
        return this.isStale(now) ? undefined : this.others;
    }
}
