import type { Milliseconds } from "../../util/clock.js";

/** Maximum fraction of a pool that is set aside as stragglers. */
const maximumSetAsideFraction = 1 / 3;

/** Ratio to the median step time from which an endpoint is a straggler. */
const slowStepRatio = 2.5;

/** Ratio to the median time to the first token from which an endpoint is a straggler. */
const slowFirstTokenRatio = 4;

/** Difference from the median below which a long time to the first token is ignored, in milliseconds. */
const ignoredFirstTokenExcess: Milliseconds = 250;

/** Ratio to the median step time up to which an endpoint on trial counts as recovered. */
const normalStepRatio = 1.6;

/** Minimum number of samples to compare a step time. */
const minimumStepSamples = 24;

/** Minimum number of samples to compare a time to the first token. */
const minimumFirstTokenSamples = 6;

/** Minimum number of endpoints with enough samples to compute a median. */
const minimumComparedEndpoints = 3;

/**
 * Average latencies of one endpoint.
 *
 * A step is one output token of a model engine, or one whole request of a plain service.
 */
export interface EndpointLatencyReading {
    readonly name: string;
    readonly stepTime: Milliseconds;
    readonly stepCount: number;
    readonly firstTokenTime: Milliseconds;
    readonly firstTokenCount: number;
    /** Whether the endpoint is currently set aside as a straggler. */
    readonly setAside: boolean;
    /** Whether the endpoint is on trial after having been set aside as a straggler. */
    readonly onTrial: boolean;
}

/** Result of comparing the endpoints of a pool. */
export interface StragglerReview {
    /** Names of the endpoints to set aside, slowest first. */
    readonly slow: readonly string[];
    /** Names of the endpoints on trial whose latency is normal again. */
    readonly recovered: readonly string[];
}

/**
 * Finds stragglers by comparing the latencies of a pool's endpoints with the median.
 *
 * The thresholds for setting aside and for recovery differ (hysteresis), so that an endpoint near one of them is not set
 * aside and readmitted repeatedly. At most a third of the pool is set aside, including the endpoints that already are.
 */
export function reviewStragglers(readings: readonly EndpointLatencyReading[]): StragglerReview {
    const stepMedian = calculateMedian(
        readings.filter(each => !each.setAside && each.stepCount >= minimumStepSamples).map(each => each.stepTime),
    );
    const firstTokenMedian = calculateMedian(
        readings.filter(each => !each.setAside && each.firstTokenCount >= minimumFirstTokenSamples)
            .map(each => each.firstTokenTime),
    );
    const compared = readings.filter(each => !each.setAside).map(reading => ({
        reading,
        stepRatio: reading.stepCount >= minimumStepSamples ? ratioToMedian(reading.stepTime, stepMedian) : undefined,
        firstTokenRatio: calculateFirstTokenRatio(reading, firstTokenMedian),
    }));
    const remainingAllowance = Math.floor(readings.length * maximumSetAsideFraction)
        - readings.filter(each => each.setAside).length;
    const slow = compared
        .map(({ reading, stepRatio, firstTokenRatio }) => ({
            reading,
            severity: calculateSeverity(reading, stepRatio, firstTokenRatio),
        }))
        .filter(({ severity }) => severity >= 1)
        .sort((left, right) => right.severity - left.severity)
        .slice(0, Math.max(0, remainingAllowance))
        .map(({ reading }) => reading.name);
    const recovered = compared
        .filter(({ reading, stepRatio }) => reading.onTrial && stepRatio !== undefined && stepRatio <= normalStepRatio)
        .map(({ reading }) => reading.name)
        .filter(name => !slow.includes(name));
    return { slow, recovered };
}

/** Ratio to the allowed latency; at least 1 for a straggler. The allowed step time is lower for an endpoint on trial. */
function calculateSeverity(
    reading: EndpointLatencyReading,
    stepRatio: number | undefined,
    firstTokenRatio: number | undefined,
): number {
    const allowed = reading.onTrial ? normalStepRatio : slowStepRatio;
    return Math.max((stepRatio ?? 0) / allowed, (firstTokenRatio ?? 0) / slowFirstTokenRatio);
}

function calculateFirstTokenRatio(
    reading: EndpointLatencyReading,
    median: Milliseconds | undefined,
): number | undefined {
    if (median === undefined || reading.firstTokenCount < minimumFirstTokenSamples) {
        return undefined;
    }
    const excess = reading.firstTokenTime - median;
    return excess < ignoredFirstTokenExcess ? undefined : ratioToMedian(reading.firstTokenTime, median);
}

function ratioToMedian(value: number, median: number | undefined): number | undefined {
    return median === undefined || median <= 0 ? undefined : value / median;
}

/** Returns the lower median; undefined for fewer than {@link minimumComparedEndpoints} values. */
function calculateMedian(values: readonly number[]): number | undefined {
    if (values.length < minimumComparedEndpoints) {
        return undefined;
    }
    return values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)];
}
