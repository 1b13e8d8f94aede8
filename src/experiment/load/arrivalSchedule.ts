import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import type { Distribution, Flow, LoadPlan } from "./loadPlan.js";

/** Number of characters per prompt token. */
const charactersPerToken = 4;

/** One request of the load, with its scheduled time and content. */
export interface Arrival {
    /** Index in the schedule, starting at 0. */
    readonly number: number;
    /** Time since the start of the run. */
    readonly scheduledAt: Milliseconds;
    readonly flow: Flow;
    /** Text of the prompt, or body of a service request. */
    readonly content: string;
}

/**
 * Schedules all requests of a plan in advance, in order of time; equal plans give equal schedules.
 *
 * Each flow is an inhomogeneous Poisson process, drawn by thinning (Lewis and Shedler, 1979); bursts change its rate.
 */
export function scheduleArrivals(plan: LoadPlan): readonly Arrival[] {
    const arrivals = plan.flows.flatMap((flow, index) =>
        drawFlowArrivals(flow, plan.seconds, new RandomSource(plan.seed + index))
    );
    return arrivals.sort((left, right) => left.scheduledAt - right.scheduledAt).map((arrival, number) => ({
        ...arrival,
        number,
    }));
}

function drawFlowArrivals(flow: Flow, seconds: number, random: RandomSource): readonly Omit<Arrival, "number">[] {
    const maximumFactor = Math.max(1, ...flow.bursts.map(burst => burst.factor));
    const meanInterval = 1 / (flow.requestsPerSecond * maximumFactor);
    const arrivals: Omit<Arrival, "number">[] = [];
    for (let second = random.exponential(meanInterval); second < seconds; second += random.exponential(meanInterval)) {
        if (random.float() * maximumFactor < rateFactorAt(flow, second)) {
            arrivals.push({ scheduledAt: second * 1000, flow, content: createContent(flow, arrivals.length, random) });
        }
    }
    return arrivals;
}

function rateFactorAt(flow: Flow, second: number): number {
    return flow.bursts.find(burst => burst.fromSecond <= second && second < burst.toSecond)?.factor ?? 1;
}

function createContent(flow: Flow, index: number, random: RandomSource): string {
    const requestText = `${flow.team} ${flow.requestClass} ${index} `;
    if (flow.kind === "service") {
        return requestText;
    }
    const prefix = `${random.integer(1, flow.prefixes)} `.repeat(flow.prefixTokens * charactersPerToken)
        .slice(0, flow.prefixTokens * charactersPerToken);
    const header = `${requestText}[answer-tokens: ${sampleCount(flow.outputTokens, random)}] `;
    const paddingLength = sampleCount(flow.promptTokens, random) * charactersPerToken - prefix.length - header.length;
    return prefix + header + "x".repeat(Math.max(0, paddingLength));
}

function sampleCount(distribution: Distribution, random: RandomSource): number {
    return Math.max(1, Math.round(random.logNormal(distribution.median, distribution.sigma)));
}
