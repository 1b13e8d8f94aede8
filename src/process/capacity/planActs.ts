import type { StartEndpoints } from "../platform/platformCommand.js";
import type { FleetMember, PoolPlan, PoolView } from "./capacityPlanner.js";

/** What must be done to get from a fleet to a plan. */
export interface PlanActs {
    readonly starts: readonly StartEndpoints[];
    /** Endpoints that take nothing new from now on and are given back once they are idle. */
    readonly drains: readonly string[];
}

/**
 * Compares a plan with the fleet.
 *
 * Nothing is ordered past the spend limit, counting what drains or leaves; nothing is released before as many endpoints
 * are live as the plan wants.
 */
export function planActs(plan: PoolPlan, view: PoolView): PlanActs {
    return { starts: startsOf(plan, view), drains: drainsOf(plan, view) };
}

function startsOf(plan: PoolPlan, view: PoolView): readonly StartEndpoints[] {
    const spent = view.fleet.reduce((total, { cheap }) => total + endpointPrice(cheap, view), 0);
    let budget = (view.spendLimitPerHour ?? Infinity) - spent;
    const starts: StartEndpoints[] = [];
    for (const domain of plan.domains) {
        for (const cheap of [false, true]) {
            const { failureDomain } = domain;
            const price = endpointPrice(cheap, view);
            const wanted = cheap ? domain.cheap : domain.steady;
            const lacking = wanted - usable(view, failureDomain, cheap).length;
            const count = Math.min(lacking, price === 0 ? lacking : Math.floor(budget / price));
            if (count > 0) {
                const { pool, engineKind } = view;
                starts.push({ kind: "startEndpoints", failureDomain, pool, engineKind, cheap, count });
                budget -= count * price;
            }
        }
    }
    return starts;
}

function drainsOf(plan: PoolPlan, view: PoolView): readonly string[] {
    const wanted = plan.domains.reduce((total, domain) => total + domain.steady + domain.cheap, 0);
    const live = view.fleet.filter(({ state }) => state === "live").length;
    const surplus = plan.domains.flatMap(({ failureDomain, steady, cheap }) => [
        ...surplusOf(view, failureDomain, false, steady),
        ...surplusOf(view, failureDomain, true, cheap),
    ]);
    const unneeded = surplus.filter(({ state }) => state === "starting").map(({ endpoint }) => endpoint);
    const releasable = surplus.filter(({ state }) => state === "live")
        .sort((left, right) => Number(left.cheap) - Number(right.cheap))
        .slice(0, Math.max(0, live - wanted))
        .map(({ endpoint }) => endpoint);
    return [...unneeded, ...releasable];
}

function surplusOf(view: PoolView, failureDomain: string, cheap: boolean, wanted: number): readonly FleetMember[] {
    const members = usable(view, failureDomain, cheap);
    const order = ["ordered", "starting", "live"];
    const ordered = [...members].sort((left, right) => order.indexOf(left.state) - order.indexOf(right.state));
    return ordered.slice(0, Math.max(0, members.length - wanted));
}

function usable(view: PoolView, failureDomain: string, cheap: boolean): readonly FleetMember[] {
    return view.fleet.filter(member =>
        member.failureDomain === failureDomain
        && member.cheap === cheap
        && member.state !== "draining"
        && member.state !== "leaving"
    );
}

function endpointPrice(cheap: boolean, view: PoolView): number {
    return cheap ? view.cheapPricePerHour : view.steadyPricePerHour;
}
