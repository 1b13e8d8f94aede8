import type { Milliseconds } from "../../util/clock.js";

/** Largest part of a pool that is set aside as stragglers. */
const largestPart = 1 / 3;

/** Times the median from which an endpoint's time per token, or per request, makes it a straggler. */
const slowStepRatio = 2.5;

/** Times the median from which an endpoint's time to the first token makes it a straggler. */
const slowFirstTokenRatio = 4;

/** Least excess over the median time to the first token, in milliseconds. */
const slowFirstTokenExcess: Milliseconds = 250;

/** Times the median up to which an endpoint on trial counts as normal again. */
const normalRatio = 1.6;

/** Samples from which a time per token is compared. */
const leastStepSamples = 24;

/** Samples from which a time to the first token is compared. */
const leastFirstTokenSamples = 6;

/** Endpoints with enough samples from which a median is a standard of comparison. */
const leastCompared = 3;

/** The pace of one endpoint. */
export interface PaceReading {
    readonly name: string;
    readonly stepTime: Milliseconds;
    readonly stepCount: number;
    readonly firstTokenTime: Milliseconds;
    readonly firstTokenCount: number;
    /** Whether it is set aside as a straggler now. */
    readonly setAside: boolean;
    /** Whether it is on trial after that. */
    readonly onTrial: boolean;
}

/** What a comparison of the endpoints of a pool led to. */
export interface StragglerVerdict {
    /** Names of the endpoints to set aside, slowest first. */
    readonly slow: readonly string[];
    /** Names of the endpoints on trial that have proved normal. */
    readonly recovered: readonly string[];
}

/**
 * Compares endpoints with their siblings.
 *
 * The thresholds for entering and leaving differ, so that an endpoint near one of them does not alternate. At most a
 * third of the pool is set aside, those included that are already.
 */
export function reviewStragglers(readings: readonly PaceReading[]): StragglerVerdict {
    const stepMedian = medianOf(
        readings.filter(each => !each.setAside && each.stepCount >= leastStepSamples).map(each => each.stepTime),
    );
    const firstTokenMedian = medianOf(
        readings.filter(each => !each.setAside && each.firstTokenCount >= leastFirstTokenSamples)
            .map(each => each.firstTokenTime),
    );
    const compared = readings.filter(each => !each.setAside).map(reading => ({
        reading,
        step: reading.stepCount >= leastStepSamples ? ratioOf(reading.stepTime, stepMedian) : undefined,
        firstToken: firstTokenRatio(reading, firstTokenMedian),
    }));
    const room = Math.floor(readings.length * largestPart) - readings.filter(each => each.setAside).length;
    const slow = compared
        .map(({ reading, step, firstToken }) => ({ reading, excess: excessOf(reading, step, firstToken) }))
        .filter(({ excess }) => excess >= 1)
        .sort((left, right) => right.excess - left.excess)
        .slice(0, Math.max(0, room))
        .map(({ reading }) => reading.name);
    const recovered = compared
        .filter(({ reading, step }) => reading.onTrial && step !== undefined && step <= normalRatio)
        .map(({ reading }) => reading.name)
        .filter(name => !slow.includes(name));
    return { slow, recovered };
}

/** By how many times the allowed ratio is exceeded; an endpoint on trial is held to the stricter one. */
function excessOf(reading: PaceReading, step: number | undefined, firstToken: number | undefined): number {
    const allowed = reading.onTrial ? normalRatio : slowStepRatio;
    return Math.max((step ?? 0) / allowed, (firstToken ?? 0) / slowFirstTokenRatio);
}

function firstTokenRatio(reading: PaceReading, median: Milliseconds | undefined): number | undefined {
    if (median === undefined || reading.firstTokenCount < leastFirstTokenSamples) {
        return undefined;
    }
    const excess = reading.firstTokenTime - median;
    return excess < slowFirstTokenExcess ? undefined : ratioOf(reading.firstTokenTime, median);
}

function ratioOf(value: number, median: number | undefined): number | undefined {
    return median === undefined || median <= 0 ? undefined : value / median;
}

/** The lower median; undefined for too few values. */
function medianOf(values: readonly number[]): number | undefined {
    if (values.length < leastCompared) {
        return undefined;
    }
    return values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)];
}
