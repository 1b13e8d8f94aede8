import type { Milliseconds } from "../../util/clock.js";

/** Step of the simulated time, in milliseconds; requests complete at whole steps. */
export const simulationStepLength: Milliseconds = 10;

/** Number of past steps for which the running requests are kept; limits the age of reports. */
const historySteps = 100;

/** Simulated replicas that run each request for its service time and report their number of running requests. */
export class SimulatedReplicas {
    /** Counted requests that arrived at a replica without a free slot. */
    requestsAtFullReplica = 0;
    /** Requests that count towards the result, which excludes those of the warm-up. */
    countedRequests = 0;
    private readonly running: number[];
    private readonly history: number[][] = [];
    private readonly completions = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly count: number, readonly slots: number) {
        this.running = Array<number>(count).fill(0);
    }

    /** Completes the requests that end at the current step and records the running requests for later reports. */
    completeDueRequests(now: Milliseconds): void {
        this.completions.get(now)?.forEach(complete => {
            complete();
        });
        this.completions.delete(now);
        this.history[(now / simulationStepLength) % historySteps] = [...this.running];
    }

    /**
     * Starts a request at a replica, which runs it even without a free slot.
     *
     * @param isCounted Whether the request counts towards the result.
     * @param onComplete Called when the request completes.
     */
    startRequest(
        replica: number,
        now: Milliseconds,
        serviceTime: Milliseconds,
        isCounted: boolean,
        onComplete: () => void,
    ): void {
        const runningBefore = this.running[replica] ?? 0;
        if (isCounted) {
            this.countedRequests += 1;
            this.requestsAtFullReplica += runningBefore >= this.slots ? 1 : 0;
        }
        this.running[replica] = runningBefore + 1;
        const completedAt = completionTime(now, serviceTime);
        const complete = (): void => {
            this.running[replica] = (this.running[replica] ?? 1) - 1;
            onComplete();
        };
        this.completions.set(completedAt, [...(this.completions.get(completedAt) ?? []), complete]);
    }

    /** Returns the number of requests that ran at a replica `reportAge` ago. */
    reportedRunning(replica: number, now: Milliseconds, reportAge: Milliseconds): number {
        return this.history[(Math.max(0, now - reportAge) / simulationStepLength) % historySteps]?.[replica] ?? 0;
    }

    /** Returns the ratio of a quantile of the replicas' running requests to their mean. */
    quantileToMeanRatio(quantile: number): number {
        const sorted = [...this.running].sort((left, right) => left - right);
        const mean = sorted.reduce((sum, value) => sum + value, 0) / this.count;
        const index = Math.min(this.count - 1, Math.ceil(quantile * this.count) - 1);
        return (sorted[index] ?? 0) / mean;
    }
}

/** Returns the time of the step at which a request that starts now completes; at least one step from now. */
export function completionTime(now: Milliseconds, serviceTime: Milliseconds): Milliseconds {
    return now + Math.max(1, Math.ceil(serviceTime / simulationStepLength)) * simulationStepLength;
}
