import type { Milliseconds } from "../../util/clock.js";

/** Step of simulated time, in milliseconds; requests end at whole steps. */
export const simulationStepLength: Milliseconds = 10;

/** Past steps that reports may speak of. */
const historySteps = 100;

/** Replicas that run requests for a time and report how many. */
export class SimulatedReplicas {
    /** Counted requests that found their replica full. */
    requestsAtFullReplica = 0;
    /** Counted requests. */
    countedRequests = 0;
    private readonly running: number[];
    private readonly history: number[][] = [];
    private readonly completions = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly count: number, readonly slots: number) {
        this.running = Array<number>(count).fill(0);
    }

    /** Ends what is due and remembers the present moment for reports. */
    completeDueRequests(now: Milliseconds): void {
        this.completions.get(now)?.forEach(complete => {
            complete();
        });
        this.completions.delete(now);
        this.history[(now / simulationStepLength) % historySteps] = [...this.running];
    }

    /** Runs a request at a replica. */
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
        const ending = (): void => {
            this.running[replica] = (this.running[replica] ?? 1) - 1;
            onComplete();
        };
        this.completions.set(completedAt, [...(this.completions.get(completedAt) ?? []), ending]);
    }

    /** Requests that ran at a replica some time ago. */
    reportedRunning(replica: number, now: Milliseconds, reportAge: Milliseconds): number {
        return this.history[(Math.max(0, now - reportAge) / simulationStepLength) % historySteps]?.[replica] ?? 0;
    }

    /** Running requests at a quantile of the replicas, against their mean. */
    quantileToMeanRatio(quantile: number): number {
        const sorted = [...this.running].sort((left, right) => left - right);
        const mean = sorted.reduce((sum, value) => sum + value, 0) / this.count;
        const index = Math.min(this.count - 1, Math.ceil(quantile * this.count) - 1);
        return (sorted[index] ?? 0) / mean;
    }
}

/** The step at which a request that starts now has ended. */
export function completionTime(now: Milliseconds, time: Milliseconds): Milliseconds {
    return now + Math.max(1, Math.ceil(time / simulationStepLength)) * simulationStepLength;
}
