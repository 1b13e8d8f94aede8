/** Fraction of a limit that is divided evenly, so that an entry without demand can admit its first request at once. */
export const evenFraction = 0.1;

/** An entry's demand for one limit since that limit was last divided, in the unit of the limit. */
export interface EntryDemand {
    readonly entry: string;
    readonly demand: number;
}

/**
 * Divides a limit among entries by their demand; the shares add up to the limit.
 *
 * {@link evenFraction} of the limit is divided evenly, the rest in proportion to demand, or evenly if there is none.
 */
export function divideLimit(limit: number, demands: readonly EntryDemand[]): ReadonlyMap<string, number> {
    const totalDemand = demands.reduce((sum, each) => sum + each.demand, 0);
    const equalShare = limit / Math.max(1, demands.length);
    return new Map(demands.map(({ entry, demand }) => {
        const proportionalShare = totalDemand === 0 ? equalShare : (limit * demand) / totalDemand;
        return [entry, evenFraction * equalShare + (1 - evenFraction) * proportionalShare];
    }));
}

/**
 * Divides an integer limit, such as of concurrent requests, by the largest remainder method; the shares are integers
 * that add up to the limit.
 */
export function divideCount(limit: number, demands: readonly EntryDemand[]): ReadonlyMap<string, number> {
    const exactShares = [...divideLimit(limit, demands)];
    const shares = new Map(exactShares.map(([entry, share]) => [entry, Math.floor(share)]));
    let remainder = limit - [...shares.values()].reduce((sum, share) => sum + share, 0);
    const byRemainder = [...exactShares].sort(([, left], [, right]) => right % 1 - left % 1);
    for (const [entry] of byRemainder) {
        if (remainder < 1) {
            break;
        }
        shares.set(entry, (shares.get(entry) ?? 0) + 1);
        remainder -= 1;
    }
    return shares;
}
