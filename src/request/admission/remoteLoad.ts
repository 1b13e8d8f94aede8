import type { Milliseconds } from "../../util/clock.js";
import { emptyTier } from "./poolSummary.js";
import type { PoolSummary } from "./poolSummary.js";

/** How often an entry sends its summary while a pool is under pressure, in milliseconds. */
export const summaryInterval: Milliseconds = 500;

/** Age beyond which a summary of the others is not used, in milliseconds. */
export const summaryLifetime: Milliseconds = 3_000;

/** How long an entry waits for others to make room before it sheds, in milliseconds. */
export const sheddingGrace: Milliseconds = 1_500;

/** What the other entries of a pool suffer and do, as far as it is known here. */
export abstract class NeighbourPressure {
    /** The most important tier that others cannot serve in time; lower tiers hold back. Undefined: none is known. */
    abstract pressedTier(now: Milliseconds): number | undefined;

    /** Whether others may still start requests below a tier or run preemptible ones. */
    abstract lowerTierElsewhere(tier: number, now: Milliseconds): boolean;

    /**
     * Tokens a second that this entry gains for a tier when others hold back what they start below it.
     *
     * @param queued Requests of the tier that wait here; others that wait elsewhere gain their part.
     */
    abstract yieldedTokens(tier: number, queued: number, now: Milliseconds): number;

    /**
     * Requests that this entry should preempt for the sake of others, for one summary at most once.
     *
     * @param ownPreemptibleBelow Gives this entry's preemptible requests below a tier.
     */
    abstract owedPreemptions(ownPreemptibleBelow: (tier: number) => number, now: Milliseconds): number;
}

/** For an entry that stands alone, and as the baseline without coordination. */
export class NoNeighbours extends NeighbourPressure {
    override pressedTier(): number | undefined {
        return undefined;
    }

    override lowerTierElsewhere(): boolean {
        return false;
    }

    override yieldedTokens(): number {
        return 0;
    }

    override owedPreemptions(): number {
        return 0;
    }
}

/**
 * Decides by the newest sum of the other entries' summaries.
 *
 * A sum older than {@link summaryLifetime} is not used: nothing is held back for others any longer, and whatever must
 * be shed first waits out {@link sheddingGrace}, because others might still run lower tiers.
 */
export class SummaryRemoteLoad extends NeighbourPressure {
    private others: PoolSummary | undefined;
    private receivedAt: Milliseconds = -Infinity;
    private settled = false;

    /** Takes in the newest sum over the other entries. */
    update(others: PoolSummary, now: Milliseconds): void {
        this.others = others;
        this.receivedAt = now;
        this.settled = false;
    }

    /** Whether no usable summary is at hand. */
    isStale(now: Milliseconds): boolean {
        return now - this.receivedAt > summaryLifetime;
    }

    override pressedTier(now: Milliseconds): number | undefined {
        const tier = this.usable(now)?.tiers.findIndex(each => each.shortfall > 0) ?? -1;
        return tier < 0 ? undefined : tier;
    }

    override lowerTierElsewhere(tier: number, now: Milliseconds): boolean {
        const others = this.usable(now);
        if (others === undefined) {
            return true;
        }
        return others.tiers.slice(tier + 1).some(each => each.started > 0 || each.preemptible > 0);
    }

    override yieldedTokens(tier: number, queued: number, now: Milliseconds): number {
        const tiers = this.usable(now)?.tiers;
        if (tiers === undefined || queued === 0) {
            return 0;
        }
        const startedBelow = tiers.slice(tier + 1).reduce((sum, each) => sum + each.started, 0);
        const queuedElsewhere = (tiers[tier] ?? emptyTier).queued;
        return (startedBelow * 1_000 * queued) / summaryInterval / (queued + queuedElsewhere);
    }

    override owedPreemptions(ownPreemptibleBelow: (tier: number) => number, now: Milliseconds): number {
        const others = this.usable(now);
        const pressed = this.pressedTier(now);
        if (others === undefined || pressed === undefined || this.settled) {
            return 0;
        }
        this.settled = true;
        const own = ownPreemptibleBelow(pressed);
        const elsewhere = others.tiers.slice(pressed + 1).reduce((sum, each) => sum + each.preemptible, 0);
        const shortfall = (others.tiers[pressed] ?? emptyTier).shortfall;
        return own === 0 ? 0 : Math.min(own, Math.ceil((shortfall * own) / (own + elsewhere)));
    }

    private usable(now: Milliseconds): PoolSummary | undefined {
        return this.isStale(now) ? undefined : this.others;
    }
}
