import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import type { Distribution, Flow, LoadPlan } from "./loadPlan.js";

/** Characters that count as one token of a prompt. */
const charactersPerToken = 4;

/** One request of the load: when it is sent and what it contains. */
export interface Arrival {
    /** Position among all requests, from 0. */
    readonly number: number;
    /** From the start of the run. */
    readonly at: Milliseconds;
    readonly flow: Flow;
    /** Text of the prompt, or of the body of a call to a service. */
    readonly content: string;
}

/**
 * Fixes all requests of a plan beforehand; equal plans give equal schedules.
 *
 * Each flow is a Poisson process whose rate changes with its bursts, made by thinning (Lewis and Shedler, 1979).
 */
export function scheduleArrivals(plan: LoadPlan): readonly Arrival[] {
    const arrivals = plan.flows.flatMap((flow, index) =>
        flowArrivals(flow, plan.seconds, new RandomSource(plan.seed + index))
    );
    return arrivals.sort((left, right) => left.at - right.at).map((arrival, number) => ({ ...arrival, number }));
}

function flowArrivals(flow: Flow, seconds: number, random: RandomSource): readonly Omit<Arrival, "number">[] {
    const highestFactor = Math.max(1, ...flow.bursts.map(burst => burst.factor));
    const meanGap = 1 / (flow.requestsPerSecond * highestFactor);
    const arrivals: Omit<Arrival, "number">[] = [];
    for (let at = random.exponential(meanGap); at < seconds; at += random.exponential(meanGap)) {
        if (random.float() * highestFactor < factorAt(flow, at)) {
            arrivals.push({ at: at * 1000, flow, content: contentOf(flow, arrivals.length, random) });
        }
    }
    return arrivals;
}

function factorAt(flow: Flow, second: number): number {
    return flow.bursts.find(burst => burst.fromSecond <= second && second < burst.toSecond)?.factor ?? 1;
}

function contentOf(flow: Flow, index: number, random: RandomSource): string {
    const own = `${flow.team} ${flow.requestClass} ${index} `;
    if (flow.kind === "service") {
        return own;
    }
    const prefix = `${random.integer(1, flow.prefixes)} `.repeat(flow.prefixTokens * charactersPerToken)
        .slice(0, flow.prefixTokens * charactersPerToken);
    const mark = `${own}[answer-tokens: ${draw(flow.outputTokens, random)}] `;
    const rest = draw(flow.promptTokens, random) * charactersPerToken - prefix.length - mark.length;
    return prefix + mark + "x".repeat(Math.max(0, rest));
}

function draw(distribution: Distribution, random: RandomSource): number {
    return Math.max(1, Math.round(random.logNormal(distribution.median, distribution.sigma)));
}
