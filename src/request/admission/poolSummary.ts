import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";

/** What an entry tells others of one tier of one pool. */
export interface TierSummary {
    /** Requests that wait. */
    readonly queued: number;
    /** Running requests that may be preempted. */
    readonly preemptible: number;
    /** Predicted tokens of requests started since the summary before, other than by the floor against starvation. */
    readonly started: number;
    /** Longest wait so far, in milliseconds; the longest of all where summaries are added. */
    readonly oldestWait: Milliseconds;
    /** Waiting requests that will miss their targets unless room is made. */
    readonly shortfall: number;
}

/** What an entry tells others of one pool; the sum over entries has the same form and size. */
export interface PoolSummary {
    readonly pool: string;
    /** Entries that are summed up. */
    readonly entries: number;
    /** One element for each tier, the most important first. */
    readonly tiers: readonly TierSummary[];
}

/** Numbers that each tier takes in a row. */
const numbersPerTier = 5;

const allTiers: readonly number[] = [...Array(lowestTier + 1).keys()];

/** A tier without requests. */
export const emptyTier: TierSummary = { queued: 0, preemptible: 0, started: 0, oldestWait: 0, shortfall: 0 };

/** The sum of no summaries. */
export function emptySummary(pool: string): PoolSummary {
    return { pool, entries: 0, tiers: allTiers.map(() => emptyTier) };
}

/** Adds the summaries of several entries; sums can be added again on the way up. */
export function addSummaries(pool: string, summaries: readonly PoolSummary[]): PoolSummary {
    return summaries.reduce((sum, each) => combine(sum, each, addTiers), emptySummary(pool));
}

/**
 * Takes an entry's own part out of a sum.
 *
 * The longest wait cannot be taken out; it stays an upper bound.
 */
export function subtractOwn(sum: PoolSummary, own: PoolSummary): PoolSummary {
    const rest = combine(sum, own, subtractTiers);
    return { ...rest, entries: Math.max(0, sum.entries - own.entries) };
}

/** Writes a summary as a row of integers of fixed length, which a codec packs into few bytes. */
export function summaryToRow(summary: PoolSummary): readonly number[] {
    return [summary.entries, ...summary.tiers.flatMap(tierToRow)];
}

/** Reads a row that {@link summaryToRow} wrote; undefined when it has another form. */
export function summaryFromRow(pool: string, row: readonly number[]): PoolSummary | undefined {
    const [entries, ...numbers] = row;
    const acceptable = row.every(each => Number.isInteger(each) && each >= 0);
    if (entries === undefined || !acceptable || numbers.length !== (lowestTier + 1) * numbersPerTier) {
        return undefined;
    }
    const tiers = allTiers.map(tier => tierFromRow(numbers, tier * numbersPerTier));
    return { pool, entries, tiers };
}

function tierToRow(tier: TierSummary): readonly number[] {
    return [tier.queued, tier.preemptible, Math.ceil(tier.started), Math.ceil(tier.oldestWait), tier.shortfall];
}

function tierFromRow(numbers: readonly number[], start: number): TierSummary {
    const [queued = 0, preemptible = 0, started = 0, oldestWait = 0, shortfall = 0] = numbers.slice(start);
    return { queued, preemptible, started, oldestWait, shortfall };
}

function combine(
    one: PoolSummary,
    other: PoolSummary,
    merge: (one: TierSummary, other: TierSummary) => TierSummary,
): PoolSummary {
    const tiers = one.tiers.map((tier, index) => merge(tier, other.tiers[index] ?? emptyTier));
    return { pool: one.pool, entries: one.entries + other.entries, tiers };
}

function addTiers(one: TierSummary, other: TierSummary): TierSummary {
    return {
        queued: one.queued + other.queued,
        preemptible: one.preemptible + other.preemptible,
        started: one.started + other.started,
        oldestWait: Math.max(one.oldestWait, other.oldestWait),
        shortfall: one.shortfall + other.shortfall,
    };
}

function subtractTiers(sum: TierSummary, own: TierSummary): TierSummary {
    return {
        queued: Math.max(0, sum.queued - own.queued),
        preemptible: Math.max(0, sum.preemptible - own.preemptible),
        started: Math.max(0, sum.started - own.started),
        oldestWait: sum.oldestWait,
        shortfall: Math.max(0, sum.shortfall - own.shortfall),
    };
}
