import type { UnixMilliseconds } from "../../util/clock.js";
import { planFor } from "./allocation.js";
import type { Requirement } from "./allocation.js";
import { CapacityPlanner } from "./capacityPlanner.js";
import type { PlanReason, PoolPlan, PoolView, WorkRate } from "./capacityPlanner.js";
import { DemandForecast } from "./demandForecast.js";
import type { ForecastSettings } from "./demandForecast.js";

/** How cautious a {@link DemandPlanner} is. */
export interface DemandPlannerSettings {
    readonly forecast: ForecastSettings;
    /** Standard deviations of the demand that are kept free for the protected tiers. */
    readonly protectedDeviations: number;
    /** Standard deviations of the demand that are kept free for all tiers. */
    readonly allDeviations: number;
    /** Load times for which a need is remembered before endpoints are released. */
    readonly holdLoadTimes: number;
    /** Load times beyond the next for which an endpoint is kept that will be needed again. */
    readonly lookaheadLoadTimes: number;
}

interface PoolMemory {
    readonly all: DemandForecast;
    readonly top: DemandForecast;
    needs: readonly { readonly at: UnixMilliseconds; readonly requirement: Requirement; }[];
}

/**
 * Plans for the demand that is expected when an endpoint ordered now is ready.
 *
 * More endpoints are ordered at once; fewer are wanted only after the need was lower for a while and will stay so.
 */
export class DemandPlanner extends CapacityPlanner {
    private readonly memories = new Map<string, PoolMemory>();

    constructor(private readonly settings: DemandPlannerSettings) {
        super();
    }

    override plan(view: PoolView, now: UnixMilliseconds): PoolPlan {
        const memory = this.memoryOf(view.pool);
        memory.all.observe(sum(view.demand), now);
        memory.top.observe(sum(view.demand.slice(0, view.protectedTiers)), now);
        const needed = this.requirement(memory, view, now, 1);
        const held = this.hold(memory, needed, view, now);
        const reasons: readonly PlanReason[] = [
            { kind: "demand", expected: memory.all.highest(now, view.loadTime), endpoints: needed.endpoints },
            ...(held.endpoints > needed.endpoints
                ? [{ kind: "releaseHeld", endpoints: held.endpoints - needed.endpoints } as const]
                : []),
        ];
        return planFor(held, view, reasons);
    }

    private memoryOf(pool: string): PoolMemory {
        const { forecast } = this.settings;
        const known = this.memories.get(pool);
        const memory = known ?? { all: new DemandForecast(forecast), top: new DemandForecast(forecast), needs: [] };
        this.memories.set(pool, memory);
        return memory;
    }

    private requirement(memory: PoolMemory, view: PoolView, now: UnixMilliseconds, loadTimes: number): Requirement {
        const horizon = view.loadTime * loadTimes;
        const { allDeviations, protectedDeviations } = this.settings;
        const all = memory.all.highest(now, horizon) * (1 + allDeviations * memory.all.noise);
        const top = memory.top.highest(now, horizon) * (1 + protectedDeviations * memory.top.noise);
        return {
            endpoints: Math.max(view.minimumReplicas, endpointsFor(all, view)),
            protectedEndpoints: endpointsFor(top, view),
        };
    }

    /** The largest of the present need, the needs of the last while, and the need of the time that follows. */
    private hold(memory: PoolMemory, needed: Requirement, view: PoolView, now: UnixMilliseconds): Requirement {
        const since = now - view.loadTime * this.settings.holdLoadTimes;
        memory.needs = [...memory.needs.filter(need => need.at > since), { at: now, requirement: needed }];
        const existing = view.fleet.filter(({ state }) => state !== "draining" && state !== "leaving").length;
        const later = this.requirement(memory, view, now, 1 + this.settings.lookaheadLoadTimes);
        const needs = memory.needs.map(({ requirement }) => requirement);
        return {
            endpoints: Math.max(
                Math.min(existing, later.endpoints),
                ...needs.map(({ endpoints }) => endpoints),
            ),
            protectedEndpoints: Math.max(...needs.map(({ protectedEndpoints }) => protectedEndpoints)),
        };
    }
}

/** Endpoints that do an amount of work. */
export function endpointsFor(work: WorkRate, view: PoolView): number {
    return Math.ceil(work / view.serviceRate - 1e-9);
}

/** Sum of rates. */
export function sum(rates: readonly WorkRate[]): WorkRate {
    return rates.reduce((left, right) => left + right, 0);
}
