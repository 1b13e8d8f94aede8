import type { FleetMember, PoolView } from "../../../src/process/capacity/capacityPlanner.js";

/**
 * Creates a view of a pool in three failure domains.
 *
 * An endpoint processes 100 tokens/s; a steady one costs 40 per hour, a cheap one 14.
 */
export function createPoolView(fields: Partial<PoolView> = {}): PoolView {
    return {
        pool: "drafting",
        engineKind: "h100",
        offers: ["hobart-a", "hobart-b", "kingston-c"].map(failureDomain => ({
            failureDomain,
            steady: true,
            cheap: true,
        })),
        steadyPricePerHour: 40,
        cheapPricePerHour: 14,
        spendLimitPerHour: undefined,
        minimumReplicas: 0,
        maximumReplicas: 30,
        serviceRate: 100,
        loadTime: 60_000,
        demand: [200, 0, 400],
        protectedTiers: 1,
        fleet: [],
        ...fields,
    };
}

/** Creates endpoints of one kind in one failure domain. */
export function createMembers(count: number, fields: Omit<FleetMember, "endpoint">): readonly FleetMember[] {
    return [...Array(count).keys()].map(index => ({
        ...fields,
        endpoint: `${fields.failureDomain}-${fields.cheap ? "cheap" : "steady"}-${fields.state}-${index}`,
    }));
}
