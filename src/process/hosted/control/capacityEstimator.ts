import type { Milliseconds } from "../../../util/clock.js";

/** Target utilization of engine time; the headroom keeps queueing delays and gaps between tokens short in a burst. */
const targetUtilization = 0.5;

/** How long demand must stay lower before endpoints are released, to keep capacity for the next burst. */
const scaleDownDelay: Milliseconds = 10_000;

/** Minimum time between two releases. */
const scaleDownInterval: Milliseconds = 1_000;

/** Fraction of the endpoints that one release covers at most, but one at least: caches of prompts are lost with them. */
const releaseFraction = 0.08;

/** Estimates how many endpoints a service needs: scales up immediately and down slowly. */
export class CapacityEstimator {
    private estimate: number;
    private lowDemandSince: Milliseconds | undefined;

    /** @param initialEndpoints Number of endpoints serving at the start; kept until traffic shows the demand. */
    constructor(initialEndpoints: number) {
        this.estimate = initialEndpoints;
    }

    /** Number of endpoints needed. */
    get endpoints(): number {
        return this.estimate;
    }

    /**
     * Updates the estimate from the load that the entries report.
     *
     * @param engineTimePerSecond Engine time used by calls, in milliseconds per second; 0 changes nothing.
     */
    update(engineTimePerSecond: number, now: Milliseconds): void {
        const needed = engineTimePerSecond === 0
            ? this.estimate
            : Math.ceil(engineTimePerSecond / 1_000 / targetUtilization);
        if (needed >= this.estimate) {
            this.estimate = needed;
            this.lowDemandSince = undefined;
            return;
        }
        this.lowDemandSince ??= now;
        if (now - this.lowDemandSince >= scaleDownDelay) {
            const release = Math.max(1, Math.round(this.estimate * releaseFraction));
            this.estimate = Math.max(needed, this.estimate - release);
            this.lowDemandSince += scaleDownInterval;
        }
    }
}
