import type { UnixMilliseconds } from "../../util/clock.js";
import { planFor } from "./allocation.js";
import type { Requirement } from "./allocation.js";
import { CapacityPlanner } from "./capacityPlanner.js";
import type { PlanReason, PoolPlan, PoolView, WorkRate } from "./capacityPlanner.js";
import { DemandForecast } from "./demandForecast.js";
import type { ForecastSettings } from "./demandForecast.js";

/** Settings of a {@link DemandPlanner}. */
export interface DemandPlannerSettings {
    readonly forecast: ForecastSettings;
    /** Reserve for the protected tiers, in standard deviations of their demand. */
    readonly protectedDeviations: number;
    /** Reserve for all tiers together, in standard deviations of their demand. */
    readonly allDeviations: number;
    /** Time for which a requirement is held before endpoints are released, in load times. */
    readonly holdLoadTimes: number;
    /** Time beyond the next load time for which endpoints that will be needed again are kept, in load times. */
    readonly lookaheadLoadTimes: number;
}

interface PoolHistory {
    readonly allTiers: DemandForecast;
    readonly protectedTiers: DemandForecast;
    recentRequirements: readonly { readonly at: UnixMilliseconds; readonly requirement: Requirement; }[];
}

/**
 * Plans for the maximum demand expected until an endpoint ordered now is ready.
 *
 * Increases the number of endpoints at once. Reduces it only if the requirement has been lower for the hold time and
 * the forecast within the lookahead is lower too.
 */
export class DemandPlanner extends CapacityPlanner {
    private readonly histories = new Map<string, PoolHistory>();

    constructor(private readonly settings: DemandPlannerSettings) {
        super();
    }

    override plan(view: PoolView, now: UnixMilliseconds): PoolPlan {
        const history = this.historyOf(view.pool);
        history.allTiers.observe(sumRates(view.demand), now);
        history.protectedTiers.observe(sumRates(view.demand.slice(0, view.protectedTiers)), now);
        const required = this.requirementWithin(history, view, now, 1);
        const held = this.holdRecentRequirements(history, required, view, now);
        const reasons: readonly PlanReason[] = [
            {
                kind: "demand",
                expected: history.allTiers.predictMaximum(now, view.loadTime),
                endpoints: required.endpoints,
            },
            ...(held.endpoints > required.endpoints
                ? [{ kind: "releaseHeld", endpoints: held.endpoints - required.endpoints } as const]
                : []),
        ];
        return planFor(held, view, reasons);
    }

    private historyOf(pool: string): PoolHistory {
        const { forecast } = this.settings;
        const existing = this.histories.get(pool);
        const history = existing
            ?? {
                allTiers: new DemandForecast(forecast),
                protectedTiers: new DemandForecast(forecast),
                recentRequirements: [],
            };
        this.histories.set(pool, history);
        return history;
    }

    private requirementWithin(
        history: PoolHistory,
        view: PoolView,
        now: UnixMilliseconds,
        loadTimes: number,
    ): Requirement {
        const horizon = view.loadTime * loadTimes;
        const { allDeviations, protectedDeviations } = this.settings;
        const allTiersDemand = history.allTiers.predictMaximum(now, horizon)
            * (1 + allDeviations * history.allTiers.relativeDeviation);
        const protectedTiersDemand = history.protectedTiers.predictMaximum(now, horizon)
            * (1 + protectedDeviations * history.protectedTiers.relativeDeviation);
        return {
            endpoints: Math.max(view.minimumReplicas, endpointsFor(allTiersDemand, view)),
            protectedEndpoints: endpointsFor(protectedTiersDemand, view),
        };
    }

    /**
     * Returns the maximum of the present requirement and those of the hold time. Endpoints that already exist are also
     * kept if the requirement forecast within the lookahead includes them.
     */
    private holdRecentRequirements(
        history: PoolHistory,
        required: Requirement,
        view: PoolView,
        now: UnixMilliseconds,
    ): Requirement {
        const since = now - view.loadTime * this.settings.holdLoadTimes;
        history.recentRequirements = [...history.recentRequirements.filter(recent => recent.at > since), {
            at: now,
            requirement: required,
        }];
        const existing = view.fleet.filter(({ state }) => state !== "draining" && state !== "leaving").length;
        const later = this.requirementWithin(history, view, now, 1 + this.settings.lookaheadLoadTimes);
        const requirements = history.recentRequirements.map(({ requirement }) => requirement);
        return {
            endpoints: Math.max(
                Math.min(existing, later.endpoints),
                ...requirements.map(({ endpoints }) => endpoints),
            ),
            protectedEndpoints: Math.max(...requirements.map(({ protectedEndpoints }) => protectedEndpoints)),
        };
    }
}

/** Returns the number of endpoints that a rate of work needs; tolerates rounding errors. */
export function endpointsFor(work: WorkRate, view: PoolView): number {
    return Math.ceil(work / view.serviceRate - 1e-9);
}

export function sumRates(rates: readonly WorkRate[]): WorkRate {
    return rates.reduce((left, right) => left + right, 0);
}
