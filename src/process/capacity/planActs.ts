import type { StartEndpoints } from "../platform/platformCommand.js";
import type { FleetMember, PoolPlan, PoolView } from "./capacityPlanner.js";

/** Orders and releases that make a fleet match a plan. */
export interface PlannedActs {
    readonly starts: readonly StartEndpoints[];
    /** Ids of endpoints that get no new requests and are stopped once they are idle. */
    readonly drains: readonly string[];
}

/**
 * Computes the orders and releases that make the fleet of a view match a plan.
 *
 * Endpoints are ordered only within the spend limit, which also covers draining and leaving endpoints. Live endpoints are
 * drained only while more are live than the plan contains.
 */
export function planActs(plan: PoolPlan, view: PoolView): PlannedActs {
    return { starts: createStarts(plan, view), drains: selectDrains(plan, view) };
}

function createStarts(plan: PoolPlan, view: PoolView): readonly StartEndpoints[] {
    const spent = view.fleet.reduce((total, { cheap }) => total + pricePerHour(cheap, view), 0);
    let budget = (view.spendLimitPerHour ?? Infinity) - spent;
    const starts: StartEndpoints[] = [];
    for (const domain of plan.domains) {
        for (const cheap of [false, true]) {
            const { failureDomain } = domain;
            const price = pricePerHour(cheap, view);
            const wanted = cheap ? domain.cheap : domain.steady;
            const missing = wanted - activeMembers(view, failureDomain, cheap).length;
            const count = Math.min(missing, price === 0 ? missing : Math.floor(budget / price));
            if (count > 0) {
                const { pool, engineKind } = view;
                starts.push({ kind: "startEndpoints", failureDomain, pool, engineKind, cheap, count });
                budget -= count * price;
            }
        }
    }
    return starts;
}

function selectDrains(plan: PoolPlan, view: PoolView): readonly string[] {
    const wanted = plan.domains.reduce((total, domain) => total + domain.steady + domain.cheap, 0);
    const liveCount = view.fleet.filter(({ state }) => state === "live").length;
    const surplus = plan.domains.flatMap(({ failureDomain, steady, cheap }) => [
        ...findSurplus(view, failureDomain, false, steady),
        ...findSurplus(view, failureDomain, true, cheap),
    ]);
    const startingSurplus = surplus.filter(({ state }) => state === "starting").map(({ endpoint }) => endpoint);
    const liveSurplus = surplus.filter(({ state }) => state === "live")
        .sort((left, right) => Number(left.cheap) - Number(right.cheap))
        .slice(0, Math.max(0, liveCount - wanted))
        .map(({ endpoint }) => endpoint);
    return [...startingSurplus, ...liveSurplus];
}

function findSurplus(view: PoolView, failureDomain: string, cheap: boolean, wanted: number): readonly FleetMember[] {
    const members = activeMembers(view, failureDomain, cheap);
    const releaseOrder = ["ordered", "starting", "live"];
    const sorted = [...members].sort((left, right) =>
        releaseOrder.indexOf(left.state) - releaseOrder.indexOf(right.state)
    );
    return sorted.slice(0, Math.max(0, members.length - wanted));
}

function activeMembers(view: PoolView, failureDomain: string, cheap: boolean): readonly FleetMember[] {
    return view.fleet.filter(member =>
        member.failureDomain === failureDomain
        && member.cheap === cheap
        && member.state !== "draining"
        && member.state !== "leaving"
    );
}

function pricePerHour(cheap: boolean, view: PoolView): number {
    return cheap ? view.cheapPricePerHour : view.steadyPricePerHour;
}
