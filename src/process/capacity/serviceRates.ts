import type { WorkRate } from "./capacityPlanner.js";

/** What an endpoint did during one interval of observation. */
export interface ServiceObservation {
    readonly engineKind: string;
    readonly rate: WorkRate;
    /** Whether it had as much to do as it could take. */
    readonly busy: boolean;
    /** Whether the requests on it met the targets of their classes. */
    readonly attaining: boolean;
}

/** Weight of one observation that raises a learnt rate. */
const raiseWeight = 0.2;
/** Weight of one observation that lowers a learnt rate. */
const lowerWeight = 0.1;

/**
 * Learns how much work an endpoint of each engine kind does while its classes meet their targets.
 *
 * Idle endpoints say nothing. A higher rate that attains raises the estimate; a lower one of a busy endpoint, or one that
 * misses targets, lowers it.
 */
export class ServiceRates {
    private readonly rates = new Map<string, WorkRate>();

    /** The learnt rate, or the given one before anything was learnt. */
    rateOf(engineKind: string, assumed: WorkRate): WorkRate {
        return this.rates.get(engineKind) ?? assumed;
    }

    /** Takes in one observation. */
    observe({ engineKind, rate, busy, attaining }: ServiceObservation): void {
        const known = this.rates.get(engineKind);
        if (!busy || rate <= 0) {
            return;
        }
        if (known === undefined) {
            this.rates.set(engineKind, rate);
            return;
        }
        const raises = rate > known && attaining;
        const lowers = rate < known;
        const weight = raises ? raiseWeight : lowerWeight;
        if (raises || lowers) {
            this.rates.set(engineKind, known + weight * (rate - known));
        }
    }
}
