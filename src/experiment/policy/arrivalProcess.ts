import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { RequestClass } from "../../version/manifest.js";

/** A request as the caller intends it, independent of the number of attempts. */
export interface LogicalRequest {
    readonly id: string;
    readonly arrivesAt: Milliseconds;
    readonly team: string;
    readonly requestClass: RequestClass;
    readonly promptTokens: number;
    /** The actual number of output tokens; hidden from all policies but the oracle. */
    readonly outputTokens: number;
}

/** Arrival process of one class. */
export interface ArrivalProcess {
    readonly requestClass: RequestClass;
    /** Median number of output tokens. */
    readonly outputMedian: number;
    /** Standard deviation of the logarithm of the number of output tokens. */
    readonly outputSigma: number;
    /** Mean number of prompt tokens; each request has between half and 1.5 times as many. */
    readonly meanPromptTokens: number;
    /** Mean number of arrivals per second at a point in time. */
    readonly requestsPerSecondAt: (time: Milliseconds) => number;
    /** Upper bound of {@link requestsPerSecondAt}. */
    readonly maximumRequestsPerSecond: number;
    /** Chooses the team of a request. */
    readonly chooseTeam: (random: RandomSource, time: Milliseconds) => string;
}

/** Draws the arrivals of an inhomogeneous Poisson process by thinning (Lewis and Shedler, 1979), in order of time. */
export function drawArrivals(
    process: ArrivalProcess,
    duration: Milliseconds,
    random: RandomSource,
): readonly LogicalRequest[] {
    const arrivals: LogicalRequest[] = [];
    const { requestClass } = process;
    let time = 0;
    for (;;) {
        time += random.exponential(1_000 / process.maximumRequestsPerSecond);
        if (time >= duration) {
            return arrivals;
        }
        if (random.float() * process.maximumRequestsPerSecond >= process.requestsPerSecondAt(time)) {
            continue;
        }
        const sampledTokens = Math.ceil(random.logNormal(process.outputMedian, process.outputSigma));
        arrivals.push({
            id: `${requestClass.name}-${arrivals.length}`,
            arrivesAt: time,
            team: process.chooseTeam(random, time),
            requestClass,
            promptTokens: Math.ceil(process.meanPromptTokens * (0.5 + random.float())),
            outputTokens: Math.min(requestClass.maximumOutputTokens, Math.max(1, sampledTokens)),
        });
    }
}

/** Returns a function that chooses among teams whose sizes follow Zipf's law, so that a few teams are large. */
export function createZipfTeamChooser(count: number): (random: RandomSource) => string {
    const weights = [...Array(count).keys()].map(rank => 1 / (rank + 1));
    const totalWeight = weights.reduce((total, weight) => total + weight, 0);
    return random => {
        let remainingWeight = random.float() * totalWeight;
        const rank = weights.findIndex(weight => {
            remainingWeight -= weight;
            return remainingWeight < 0;
        });
        return `team-${rank < 0 ? count - 1 : rank}`;
    };
}
