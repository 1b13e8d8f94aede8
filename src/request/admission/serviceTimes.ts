import type { Milliseconds } from "../../util/clock.js";
import { RunningQuantile } from "../../util/runningQuantile.js";
import type { RequestClass } from "../../version/manifest.js";

/** Quantile of the service time that a request must be able to fit before its target. */
const cautiousQuantile = 0.9;

/** Quantile of the service time that a request must still be able to fit to keep its place in the order. */
const likelyQuantile = 0.85;

/** Share of the total target that remains for waiting, however slow the pool is. */
const smallestWaitingShare = 0.1;

/**
 * Part of the time before the total target that newcomers may expect to wait while more arrives than the pool serves.
 *
 * Lengths are not known in advance: the shorter the wait, the more of the long answers still meet the target.
 */
const crowdedPart = 0.3;

/** Share of the first-token target that may be spent in the queue. */
const firstTokenWaitingShare = 0.5;

/** Learns how long the requests of a class run, and from it how long one may wait. */
export class ServiceTimes {
    private readonly cautious = new RunningQuantile(cautiousQuantile);
    private readonly likely = new RunningQuantile(likelyQuantile);

    /** Learns from a completed request. */
    learn(serviceTime: Milliseconds): void {
        this.cautious.add(serviceTime);
        this.likely.add(serviceTime);
    }

    /** Longest wait with which nine requests in ten still meet the target. */
    admissibleWait(requestClass: RequestClass): Milliseconds {
        return waitLeft(requestClass, this.cautious.value ?? 0, 1);
    }

    /** Longest wait that newcomers are admitted with while more arrives than the pool serves. */
    crowdedWait(requestClass: RequestClass): Milliseconds {
        return waitLeft(requestClass, this.cautious.value ?? 0, crowdedPart);
    }

    /** Longest wait with which most requests still meet the target; what waiting requests are ordered by. */
    latestStart(requestClass: RequestClass): Milliseconds {
        return waitLeft(requestClass, this.likely.value ?? 0, 1);
    }
}

function waitLeft(requestClass: RequestClass, serviceTime: Milliseconds, part: number): Milliseconds {
    const { totalMilliseconds, firstTokenMilliseconds } = requestClass.target;
    const beforeTotal = Math.max(totalMilliseconds * smallestWaitingShare, totalMilliseconds - serviceTime);
    return Math.min(beforeTotal * part, (firstTokenMilliseconds ?? Infinity) * firstTokenWaitingShare);
}
