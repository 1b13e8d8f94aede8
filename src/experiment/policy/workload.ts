import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { RequestClass } from "../../version/manifest.js";

/** One answer that a caller wants, whatever number of attempts it takes. */
export interface Demand {
    readonly id: string;
    readonly at: Milliseconds;
    readonly team: string;
    readonly requestClass: RequestClass;
    readonly promptTokens: number;
    /** The true output length, which policies must not see. */
    readonly outputTokens: number;
}

/** Arrivals of one class. */
export interface Stream {
    readonly requestClass: RequestClass;
    /** Median of the output tokens. */
    readonly outputMedian: number;
    /** Standard deviation of the logarithm of the output tokens. */
    readonly outputSigma: number;
    readonly promptTokens: number;
    /** Mean arrivals a second at a point of time. */
    readonly rate: (at: Milliseconds) => number;
    /** Largest value of the rate. */
    readonly largestRate: number;
    /** Chooses the team of an arrival. */
    readonly team: (random: RandomSource, at: Milliseconds) => string;
}

/** Draws the arrivals of a stream: a Poisson process whose rate changes, by thinning (Lewis and Shedler, 1979). */
export function drawDemands(stream: Stream, duration: Milliseconds, random: RandomSource): readonly Demand[] {
    const demands: Demand[] = [];
    const { requestClass } = stream;
    let at = 0;
    for (;;) {
        at += random.exponential(1_000 / stream.largestRate);
        if (at >= duration) {
            return demands;
        }
        if (random.float() * stream.largestRate >= stream.rate(at)) {
            continue;
        }
        const drawn = Math.ceil(random.logNormal(stream.outputMedian, stream.outputSigma));
        demands.push({
            id: `${requestClass.name}-${demands.length}`,
            at,
            team: stream.team(random, at),
            requestClass,
            promptTokens: Math.ceil(stream.promptTokens * (0.5 + random.float())),
            outputTokens: Math.min(requestClass.maximumOutputTokens, Math.max(1, drawn)),
        });
    }
}

/** Chooses among teams whose sizes fall with their rank, so that a few are large (Zipf). */
export function unequalTeams(count: number): (random: RandomSource) => string {
    const weights = [...Array(count).keys()].map(rank => 1 / (rank + 1));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return random => {
        let rest = random.float() * sum;
        const rank = weights.findIndex(weight => {
            rest -= weight;
            return rest < 0;
        });
        return `team-${rank < 0 ? count - 1 : rank}`;
    };
}
