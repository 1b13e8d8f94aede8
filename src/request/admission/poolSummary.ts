import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";

/** Load of one tier of a pool at one entry, sent to the other entries. */
export interface TierSummary {
    /** Number of waiting requests. */
    readonly queued: number;
    /** Number of running requests that may be preempted. */
    readonly preemptible: number;
    /** Predicted output tokens of the requests started since the previous summary, except through the service floor. */
    readonly startedOutputTokens: number;
    /** Wait of the oldest waiting request, in milliseconds; the longest such wait in a sum of summaries. */
    readonly oldestWait: Milliseconds;
    /** Number of waiting requests that will miss their targets unless capacity is freed. */
    readonly shortfall: number;
}

/** Load of a pool at one entry, sent to the other entries; a sum over entries has the same shape and size. */
export interface PoolSummary {
    readonly pool: string;
    /** Number of entries included in the sum. */
    readonly entries: number;
    /** One element per tier, the highest first. */
    readonly tiers: readonly TierSummary[];
}

/** Number of integers per tier in an encoded row. */
const fieldsPerTier = 5;

const allTiers: readonly number[] = [...Array(lowestTier + 1).keys()];

/** Summary of a tier without requests. */
export const emptyTier: TierSummary = {
    queued: 0,
    preemptible: 0,
    startedOutputTokens: 0,
    oldestWait: 0,
    shortfall: 0,
};

/** Returns the sum of zero summaries. */
export function emptySummary(pool: string): PoolSummary {
    return { pool, entries: 0, tiers: allTiers.map(() => emptyTier) };
}

/** Adds summaries; the operation is associative, so that sums can be added again. */
export function addSummaries(pool: string, summaries: readonly PoolSummary[]): PoolSummary {
    return summaries.reduce((sum, summary) => combine(sum, summary, addTiers), emptySummary(pool));
}

/**
 * Subtracts an entry's own summary from a sum.
 *
 * The maximum in `oldestWait` cannot be subtracted; it remains an upper bound.
 */
export function subtractOwn(sum: PoolSummary, own: PoolSummary): PoolSummary {
    const rest = combine(sum, own, subtractTiers);
    return { ...rest, entries: Math.max(0, sum.entries - own.entries) };
}

/** Encodes a summary as a fixed-length row of integers, which serializes compactly. */
export function summaryToRow(summary: PoolSummary): readonly number[] {
    return [summary.entries, ...summary.tiers.flatMap(tierToRow)];
}

/** Decodes a row written by {@link summaryToRow}; returns undefined if its length or values are invalid. */
export function summaryFromRow(pool: string, row: readonly number[]): PoolSummary | undefined {
    const [entries, ...tierFields] = row;
    const isValid = row.every(value => Number.isInteger(value) && value >= 0);
    if (entries === undefined || !isValid || tierFields.length !== (lowestTier + 1) * fieldsPerTier) {
        return undefined;
    }
    const tiers = allTiers.map(tier => tierFromRow(tierFields, tier * fieldsPerTier));
    return { pool, entries, tiers };
}

function tierToRow(tier: TierSummary): readonly number[] {
    return [
        tier.queued,
        tier.preemptible,
        Math.ceil(tier.startedOutputTokens),
        Math.ceil(tier.oldestWait),
        tier.shortfall,
    ];
}

function tierFromRow(tierFields: readonly number[], start: number): TierSummary {
    const [queued = 0, preemptible = 0, started = 0, oldestWait = 0, shortfall = 0] = tierFields.slice(start);
    return { queued, preemptible, startedOutputTokens: started, oldestWait, shortfall };
}

function combine(
    first: PoolSummary,
    second: PoolSummary,
    merge: (first: TierSummary, second: TierSummary) => TierSummary,
): PoolSummary {
    const tiers = first.tiers.map((tier, index) => merge(tier, second.tiers[index] ?? emptyTier));
    return { pool: first.pool, entries: first.entries + second.entries, tiers };
}

function addTiers(first: TierSummary, second: TierSummary): TierSummary {
    return {
        queued: first.queued + second.queued,
        preemptible: first.preemptible + second.preemptible,
        startedOutputTokens: first.startedOutputTokens + second.startedOutputTokens,
        oldestWait: Math.max(first.oldestWait, second.oldestWait),
        shortfall: first.shortfall + second.shortfall,
    };
}

function subtractTiers(sum: TierSummary, own: TierSummary): TierSummary {
    return {
        queued: Math.max(0, sum.queued - own.queued),
        preemptible: Math.max(0, sum.preemptible - own.preemptible),
        startedOutputTokens: Math.max(0, sum.startedOutputTokens - own.startedOutputTokens),
        oldestWait: sum.oldestWait,
        shortfall: Math.max(0, sum.shortfall - own.shortfall),
    };
}
