import type { CapacityPlanner, PoolView } from "../../process/capacity/capacityPlanner.js";
import { sum } from "../../process/capacity/demandPlanner.js";
import { planActs } from "../../process/capacity/planActs.js";
import type { Milliseconds } from "../../util/clock.js";
import { dayLength, failureDomains, protectedTiers, steadyPrice, tierLoads, timeStep } from "./scenario.js";
import type { Scenario } from "./scenario.js";
import { SimulatedFleet } from "./simulatedFleet.js";
import { WorkQueue } from "./workQueue.js";

/** Figures of the measured day of one run. */
export interface CapacityFigures {
    /** Spend in millionths of the currency unit. */
    readonly spend: number;
    /** Part of the work of each tier that was done in time. */
    readonly attainment: readonly number[];
    /** Part of the repeatable work that ran on cheap endpoints, while any failure domain offered them. */
    readonly cheapShare: number;
    /** Part of the repeatable work that was lost under way by reclaims and done again. */
    readonly repeatedShare: number;
    readonly orders: number;
    readonly releases: number;
}

const loadTime: Milliseconds = 60_000;
const serviceRate = 2_500;
const millisecondsAnHour = 3_600_000;
/** Work under way that is lost when an endpoint is reclaimed, in time of its work. */
const lostTime: Milliseconds = 5_000;

/** Runs one scenario under simulated time: fluid work, priorities between tiers, deadlines, and one pool. */
export class CapacityRun {
    private readonly fleet: SimulatedFleet;
    private readonly queues = tierLoads.map(tier => new WorkQueue(tier.deadline));
    private spend = 0;
    private repeatableServed = 0;
    private repeatableOnCheap = 0;
    private repeated = 0;
    /** Work of the last step on cheap endpoints, by tier; more important tiers fill the steady ones first. */
    private onCheapBefore: readonly number[] = [];
    private cheapBefore = 1;

    constructor(
        private readonly scenario: Scenario,
        private readonly planner: CapacityPlanner,
        private readonly demand: readonly number[],
    ) {
        this.fleet = new SimulatedFleet(scenario.reclaims, loadTime);
    }

    /** Runs the day that teaches and the measured day; figures are those of the latter. */
    run(): CapacityFigures {
        const steps = dayLength / timeStep;
        const before = this.runSteps(0, steps);
        const after = this.runSteps(steps, 2 * steps);
        return {
            spend: after.spend - before.spend,
            attainment: after.served.map((served, tier) => {
                const done = served - (before.served[tier] ?? 0);
                const missed = (after.missed[tier] ?? 0) - (before.missed[tier] ?? 0);
                return done / (done + missed);
            }),
            cheapShare: (after.onCheap - before.onCheap) / (after.repeatable - before.repeatable),
            repeatedShare: (after.repeated - before.repeated) / (after.repeatable - before.repeatable),
            orders: after.orders - before.orders,
            releases: after.releases - before.releases,
        };
    }

    private runSteps(first: number, end: number): RunTotals {
        for (let step = first; step < end; step += 1) {
            this.step((step * timeStep) - dayLength, this.demand[step] ?? 0);
        }
        return {
            spend: this.spend,
            served: this.queues.map(queue => queue.served),
            missed: this.queues.map(queue => queue.missed),
            onCheap: this.repeatableOnCheap,
            repeatable: this.repeatableServed,
            repeated: this.repeated,
            orders: this.fleet.orders,
            releases: this.fleet.releases,
        };
    }

    private step(now: Milliseconds, demand: number): void {
        this.loseWork(this.fleet.advance(now), now);
        const view = this.view(now, demand);
        const acts = planActs(this.planner.plan(view, now), view);
        acts.drains.forEach(endpoint => {
            this.fleet.drain(endpoint, now);
        });
        acts.starts.forEach(order => {
            this.fleet.start(order, now);
        });
        this.pay(now);
        this.work(now, demand);
    }

    private view(now: Milliseconds, demand: number): PoolView {
        return {
            pool: "drafting",
            engineKind: "simulated",
            offers: this.fleet.offers(now),
            steadyPricePerHour: steadyPrice,
            cheapPricePerHour: this.scenario.cheapPrice(now),
            spendLimitPerHour: undefined,
            minimumReplicas: 1,
            maximumReplicas: 40,
            serviceRate,
            loadTime,
            demand: tierLoads.map(tier => tier.share * demand),
            protectedTiers,
            fleet: this.fleet.members,
        };
    }

    private pay(now: Milliseconds): void {
        for (const { cheap } of this.fleet.members) {
            const price = cheap ? this.scenario.cheapPrice(now) : steadyPrice;
            this.spend += price * timeStep / millisecondsAnHour;
        }
    }

    /** What endpoints under notice have under way counts as lost; it goes back to its tiers with less time left. */
    private loseWork(noticed: number, now: Milliseconds): void {
        const part = noticed === 0 ? 0 : noticed / this.cheapBefore * lostTime / timeStep;
        this.onCheapBefore.forEach((work, tier) => {
            const lost = work * Math.min(1, part);
            this.queues[tier]?.takeBack(lost, now - lostTime);
            this.repeated += tier < protectedTiers ? 0 : lost;
        });
    }

    private work(now: Milliseconds, demand: number): void {
        const live = this.fleet.members.filter(({ state }) => state === "live");
        const each = serviceRate * timeStep / 1_000;
        const cheapRoom = live.filter(({ cheap }) => cheap).length * each;
        const steadyRoom = live.length * each - cheapRoom;
        let room = steadyRoom + cheapRoom;
        const done = this.queues.map((queue, tier) => {
            queue.offer((tierLoads[tier]?.share ?? 0) * demand * timeStep / 1_000, now);
            const served = queue.serve(room);
            room -= served;
            queue.expire(now);
            return served;
        });
        let steadyLeft = steadyRoom;
        this.onCheapBefore = done.map(served => {
            const onSteady = Math.min(served, steadyLeft);
            steadyLeft -= onSteady;
            return served - onSteady;
        });
        this.cheapBefore = Math.max(1, cheapRoom / each);
        if (!isCheapOffered(this.scenario, now)) {
            return;
        }
        this.repeatableServed += sum(done.slice(protectedTiers));
        this.repeatableOnCheap += sum(this.onCheapBefore.slice(protectedTiers));
    }
}

function isCheapOffered(scenario: Scenario, now: Milliseconds): boolean {
    const reclaimed = scenario.reclaims.filter(({ from, until }) => from <= now && now < until);
    return new Set(reclaimed.map(({ failureDomain }) => failureDomain)).size < failureDomains.length;
}

interface RunTotals {
    readonly spend: number;
    readonly served: readonly number[];
    readonly missed: readonly number[];
    readonly onCheap: number;
    readonly repeatable: number;
    readonly repeated: number;
    readonly orders: number;
    readonly releases: number;
}
