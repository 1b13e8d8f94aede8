/** Share of a limit that is divided evenly, so that an entry without demand can serve the first request at once. */
export const evenShare = 0.1;

/** An entry's demand for one limit since the division before, in the unit of the limit. */
export interface EntryDemand {
    readonly entry: string;
    readonly demand: number;
}

/**
 * Divides a limit between entries by their demand; the parts add up to the limit.
 *
 * A part of {@link evenShare} is divided evenly, the rest in proportion to the demand, and evenly where there is none.
 */
export function divideLimit(limit: number, demands: readonly EntryDemand[]): ReadonlyMap<string, number> {
    const total = demands.reduce((sum, each) => sum + each.demand, 0);
    const even = limit / Math.max(1, demands.length);
    return new Map(demands.map(({ entry, demand }) => {
        const byDemand = total === 0 ? even : (limit * demand) / total;
        return [entry, evenShare * even + (1 - evenShare) * byDemand];
    }));
}

/**
 * Divides a whole number, such as of concurrent requests, by the method of largest remainders; the parts add up to it.
 */
export function divideCount(limit: number, demands: readonly EntryDemand[]): ReadonlyMap<string, number> {
    const exact = [...divideLimit(limit, demands)];
    const parts = new Map(exact.map(([entry, part]) => [entry, Math.floor(part)]));
    let rest = limit - [...parts.values()].reduce((sum, part) => sum + part, 0);
    const byRemainder = [...exact].sort(([, one], [, other]) => other % 1 - one % 1);
    for (const [entry] of byRemainder) {
        if (rest < 1) {
            break;
        }
        parts.set(entry, (parts.get(entry) ?? 0) + 1);
        rest -= 1;
    }
    return parts;
}
