import type { CapacityPlanner, PoolView } from "../../process/capacity/capacityPlanner.js";
import { sumRates } from "../../process/capacity/demandPlanner.js";
import { planActs } from "../../process/capacity/planActs.js";
import type { Milliseconds } from "../../util/clock.js";
import { dayLength, failureDomains, protectedTierCount, steadyPricePerHour, tierLoads, timeStep } from "./scenario.js";
import type { Scenario } from "./scenario.js";
import { SimulatedFleet } from "./simulatedFleet.js";
import { WorkQueue } from "./workQueue.js";

/** Metrics of the measured day of one simulation. */
export interface CapacityMetrics {
    /** Spend, in millionths of the currency unit. */
    readonly spend: number;
    /** Fraction of work completed within the deadline, by tier. */
    readonly attainment: readonly number[];
    /** Fraction of interruptible work that ran on cheap endpoints while a failure domain offered them. */
    readonly cheapShare: number;
    /** Fraction of interruptible work lost in progress because of reclaims, and repeated. */
    readonly repeatedShare: number;
    /** Number of orders, including refused ones; one order can be for several endpoints. */
    readonly orders: number;
    /** Number of drained endpoints. */
    readonly releases: number;
}

const loadTime: Milliseconds = 60_000;
const endpointTokensPerSecond = 2_500;
const millisecondsPerHour = 3_600_000;
/** Processing time of an endpoint whose work in progress is lost when the endpoint is reclaimed. */
const lostProcessingTime: Milliseconds = 5_000;

/** Simulates one scenario with one pool: work is a fluid, served by tier in order of priority, with deadlines. */
export class CapacitySimulation {
    private readonly fleet: SimulatedFleet;
    private readonly tierQueues = tierLoads.map(tier => new WorkQueue(tier.deadline));
    private spend = 0;
    private interruptibleWork = 0;
    private interruptibleOnCheap = 0;
    private repeatedWork = 0;
    /** Work of the previous step on cheap endpoints, by tier; higher tiers use the steady endpoints first. */
    private previousCheapWorkByTier: readonly number[] = [];
    private previousCheapEndpoints = 1;

    constructor(
        private readonly scenario: Scenario,
        private readonly planner: CapacityPlanner,
        private readonly tokensPerSecondByStep: readonly number[],
    ) {
        this.fleet = new SimulatedFleet(scenario.reclaims, loadTime);
    }

    /** Simulates a training day for the planner and then the measured day; returns the metrics of the measured day. */
    run(): CapacityMetrics {
        const stepsPerDay = dayLength / timeStep;
        const trainingTotals = this.runSteps(0, stepsPerDay);
        const finalTotals = this.runSteps(stepsPerDay, 2 * stepsPerDay);
        return {
            spend: finalTotals.spend - trainingTotals.spend,
            attainment: finalTotals.servedByTier.map((served, tier) => {
                const done = served - (trainingTotals.servedByTier[tier] ?? 0);
                const missed = (finalTotals.missedByTier[tier] ?? 0) - (trainingTotals.missedByTier[tier] ?? 0);
                return done / (done + missed);
            }),
            cheapShare: (finalTotals.interruptibleOnCheap - trainingTotals.interruptibleOnCheap)
                / (finalTotals.interruptibleWork - trainingTotals.interruptibleWork),
            repeatedShare: (finalTotals.repeatedWork - trainingTotals.repeatedWork)
                / (finalTotals.interruptibleWork - trainingTotals.interruptibleWork),
            orders: finalTotals.orders - trainingTotals.orders,
            releases: finalTotals.releases - trainingTotals.releases,
        };
    }

    private runSteps(firstStep: number, endStep: number): RunTotals {
        for (let step = firstStep; step < endStep; step += 1) {
            this.runStep((step * timeStep) - dayLength, this.tokensPerSecondByStep[step] ?? 0);
        }
        return {
            spend: this.spend,
            servedByTier: this.tierQueues.map(queue => queue.served),
            missedByTier: this.tierQueues.map(queue => queue.missed),
            interruptibleOnCheap: this.interruptibleOnCheap,
            interruptibleWork: this.interruptibleWork,
            repeatedWork: this.repeatedWork,
            orders: this.fleet.orders,
            releases: this.fleet.releases,
        };
    }

    private runStep(now: Milliseconds, tokensPerSecond: number): void {
        this.requeueLostWork(this.fleet.advance(now), now);
        const view = this.createPoolView(now, tokensPerSecond);
        const actions = planActs(this.planner.plan(view, now), view);
        actions.drains.forEach(endpoint => {
            this.fleet.drain(endpoint, now);
        });
        actions.starts.forEach(order => {
            this.fleet.startEndpoints(order, now);
        });
        this.addSpend(now);
        this.processWork(now, tokensPerSecond);
    }

    private createPoolView(now: Milliseconds, tokensPerSecond: number): PoolView {
        return {
            pool: "drafting",
            engineKind: "simulated",
            offers: this.fleet.offers(now),
            steadyPricePerHour,
            cheapPricePerHour: this.scenario.cheapPricePerHourAt(now),
            spendLimitPerHour: undefined,
            minimumReplicas: 1,
            maximumReplicas: 40,
            serviceRate: endpointTokensPerSecond,
            loadTime,
            demand: tierLoads.map(tier => tier.demandFraction * tokensPerSecond),
            protectedTiers: protectedTierCount,
            fleet: this.fleet.members,
        };
    }

    private addSpend(now: Milliseconds): void {
        for (const { cheap } of this.fleet.members) {
            const price = cheap ? this.scenario.cheapPricePerHourAt(now) : steadyPricePerHour;
            this.spend += price * timeStep / millisecondsPerHour;
        }
    }

    /** Requeues the work in progress on reclaimed endpoints; the time already spent counts towards its deadline. */
    private requeueLostWork(reclaimedEndpoints: number, now: Milliseconds): void {
        const lostFraction = reclaimedEndpoints === 0
            ? 0
            : reclaimedEndpoints / this.previousCheapEndpoints * lostProcessingTime / timeStep;
        this.previousCheapWorkByTier.forEach((work, tier) => {
            const lostWork = work * Math.min(1, lostFraction);
            this.tierQueues[tier]?.requeue(lostWork, now - lostProcessingTime);
            this.repeatedWork += tier < protectedTierCount ? 0 : lostWork;
        });
    }

    private processWork(now: Milliseconds, tokensPerSecond: number): void {
        const liveEndpoints = this.fleet.members.filter(({ state }) => state === "live");
        const workPerEndpoint = endpointTokensPerSecond * timeStep / 1_000;
        const cheapCapacity = liveEndpoints.filter(({ cheap }) => cheap).length * workPerEndpoint;
        const steadyCapacity = liveEndpoints.length * workPerEndpoint - cheapCapacity;
        let remainingCapacity = steadyCapacity + cheapCapacity;
        const servedByTier = this.tierQueues.map((queue, tier) => {
            queue.add((tierLoads[tier]?.demandFraction ?? 0) * tokensPerSecond * timeStep / 1_000, now);
            const served = queue.serve(remainingCapacity);
            remainingCapacity -= served;
            queue.expire(now);
            return served;
        });
        let remainingSteadyCapacity = steadyCapacity;
        this.previousCheapWorkByTier = servedByTier.map(served => {
            const onSteady = Math.min(served, remainingSteadyCapacity);
            remainingSteadyCapacity -= onSteady;
            return served - onSteady;
        });
        this.previousCheapEndpoints = Math.max(1, cheapCapacity / workPerEndpoint);
        if (!isCheapCapacityOffered(this.scenario, now)) {
            return;
        }
        this.interruptibleWork += sumRates(servedByTier.slice(protectedTierCount));
        this.interruptibleOnCheap += sumRates(this.previousCheapWorkByTier.slice(protectedTierCount));
    }
}

function isCheapCapacityOffered(scenario: Scenario, now: Milliseconds): boolean {
    const activeReclaims = scenario.reclaims.filter(({ from, until }) => from <= now && now < until);
    return new Set(activeReclaims.map(({ failureDomain }) => failureDomain)).size < failureDomains.length;
}

/** Totals since the start of the simulation. */
interface RunTotals {
    readonly spend: number;
    readonly servedByTier: readonly number[];
    readonly missedByTier: readonly number[];
    readonly interruptibleOnCheap: number;
    readonly interruptibleWork: number;
    readonly repeatedWork: number;
    readonly orders: number;
    readonly releases: number;
}
