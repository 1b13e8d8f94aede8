import type { Milliseconds } from "../../util/clock.js";

/** Step of simulated time, in milliseconds; requests end at whole steps. */
export const simulationStep: Milliseconds = 10;

/** Past steps that reports may speak of. */
const rememberedSteps = 100;

/** Replicas that run requests for a time and report how many. */
export class SimulatedReplicas {
    /** Counted requests that found their replica full. */
    foundFull = 0;
    /** Counted requests. */
    counted = 0;
    private readonly running: number[];
    private readonly past: number[][] = [];
    private readonly ends = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly count: number, readonly slots: number) {
        this.running = Array<number>(count).fill(0);
    }

    /** Ends what is due and remembers the present moment for reports. */
    endDue(now: Milliseconds): void {
        this.ends.get(now)?.forEach(end => {
            end();
        });
        this.ends.delete(now);
        this.past[(now / simulationStep) % rememberedSteps] = [...this.running];
    }

    /** Runs a request at a replica. */
    run(replica: number, now: Milliseconds, time: Milliseconds, countIt: boolean, onEnd: () => void): void {
        const before = this.running[replica] ?? 0;
        if (countIt) {
            this.counted += 1;
            this.foundFull += before >= this.slots ? 1 : 0;
        }
        this.running[replica] = before + 1;
        const end = endOf(now, time);
        const ending = (): void => {
            this.running[replica] = (this.running[replica] ?? 1) - 1;
            onEnd();
        };
        this.ends.set(end, [...(this.ends.get(end) ?? []), ending]);
    }

    /** Requests that ran at a replica some time ago. */
    reported(replica: number, now: Milliseconds, lag: Milliseconds): number {
        return this.past[(Math.max(0, now - lag) / simulationStep) % rememberedSteps]?.[replica] ?? 0;
    }

    /** Running requests at a quantile of the replicas, against their mean. */
    ratioToMean(quantile: number): number {
        const sorted = [...this.running].sort((left, right) => left - right);
        const mean = sorted.reduce((sum, value) => sum + value, 0) / this.count;
        const index = Math.min(this.count - 1, Math.ceil(quantile * this.count) - 1);
        return (sorted[index] ?? 0) / mean;
    }
}

/** The step at which a request that starts now has ended. */
export function endOf(now: Milliseconds, time: Milliseconds): Milliseconds {
    return now + Math.max(1, Math.ceil(time / simulationStep)) * simulationStep;
}
