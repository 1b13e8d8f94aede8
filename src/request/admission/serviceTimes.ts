import type { Milliseconds } from "../../util/clock.js";
import { QuantileEstimator } from "../../util/quantileEstimator.js";
import type { RequestClass } from "../../version/manifest.js";

/** Quantile of the service time that a new request must fit before its target to be admitted. */
const admissionQuantile = 0.9;

/** Quantile of the service time that a waiting request must fit before its target to count as on time. */
const orderingQuantile = 0.85;

/** Fraction of the total target that is always available for waiting, however slow the pool is. */
const minimumWaitFraction = 0.1;

/**
 * Fraction of the available wait that a new request may expect while arrivals exceed the pool's capacity.
 *
 * Output lengths are not known in advance: with a shorter wait, more of the long responses still meet the target.
 */
const overloadWaitFraction = 0.3;

/** Fraction of the first-token target that may be spent in the queue. */
const firstTokenWaitFraction = 0.5;

/** Estimates the service times of a class and derives how long its requests may wait. */
export class ServiceTimes {
    private readonly admissionServiceTime = new QuantileEstimator(admissionQuantile);
    private readonly orderingServiceTime = new QuantileEstimator(orderingQuantile);

    /** Updates the estimates with the service time of a completed request. */
    observe(serviceTime: Milliseconds): void {
        this.admissionServiceTime.addSample(serviceTime);
        this.orderingServiceTime.addSample(serviceTime);
    }

    /** Longest wait, in milliseconds, after which 90 % of the requests still meet the total target. */
    admissibleWait(requestClass: RequestClass): Milliseconds {
        return maximumWait(requestClass, this.admissionServiceTime.estimate ?? 0, 1);
    }

    /** Longest expected wait, in milliseconds, of requests admitted while arrivals exceed the pool's capacity. */
    overloadWait(requestClass: RequestClass): Milliseconds {
        return maximumWait(requestClass, this.admissionServiceTime.estimate ?? 0, overloadWaitFraction);
    }

    /** Longest wait, in milliseconds, after which 85 % of the requests still meet the target; a longer one is late. */
    maximumOnTimeWait(requestClass: RequestClass): Milliseconds {
        return maximumWait(requestClass, this.orderingServiceTime.estimate ?? 0, 1);
    }
}

function maximumWait(requestClass: RequestClass, serviceTime: Milliseconds, fraction: number): Milliseconds {
    const { totalMilliseconds, firstTokenMilliseconds } = requestClass.target;
    const beforeTotal = Math.max(totalMilliseconds * minimumWaitFraction, totalMilliseconds - serviceTime);
    return Math.min(beforeTotal * fraction, (firstTokenMilliseconds ?? Infinity) * firstTokenWaitFraction);
}
