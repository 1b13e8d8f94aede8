import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { PoolSummary, TierSummary } from "./poolSummary.js";
import type { RunningRequests } from "./runningRequests.js";
import type { TierTable } from "./tierQueues.js";

/** Measures what other entries should know of a queue, from one summary to the next. */
export class PressureGauge {
    private readonly started = new Array<number>(lowestTier + 1).fill(0);
    private readonly turnedAway = new Array<number>(lowestTier + 1).fill(0);

    /**
     * @param table The waiting requests.
     * @param running The running requests.
     */
    constructor(
        private readonly table: TierTable,
        private readonly running: RunningRequests,
    ) {}

    /** Notes that a request of some predicted tokens started in the order of the tiers. */
    noteStarted(tier: number, tokens: number): void {
        this.started[tier] = (this.started[tier] ?? 0) + Math.max(1, tokens);
    }

    /** Notes that something was shed, or that room is awaited elsewhere, for the sake of a tier. */
    noteShed(tier: number): void {
        this.turnedAway[tier] = (this.turnedAway[tier] ?? 0) + 1;
    }

    /** Number of this entry's preemptible requests below a tier. */
    preemptibleBelow(tier: number): number {
        let sum = 0;
        for (let lower = tier + 1; lower <= lowestTier; lower += 1) {
            sum += this.running.preemptibleOf(lower);
        }
        return sum;
    }

    /** Makes a summary and starts the next span of measurement. */
    summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary {
        const tiers = [...this.table.tiers.keys()].map(tier => this.summarizeTier(tier, capacity, now));
        this.started.fill(0);
        this.turnedAway.fill(0);
        return { pool, entries: 1, tiers };
    }

    private summarizeTier(tier: number, capacity: PoolCapacity, now: Milliseconds): TierSummary {
        const queue = this.table.tierOf(tier);
        const oldest = queue.oldestArrival;
        const short = this.table.shortfallOf(tier, capacity, now);
        return {
            queued: queue.size,
            preemptible: this.running.preemptibleOf(tier),
            started: Math.ceil(this.started[tier] ?? 0),
            oldestWait: oldest === undefined ? 0 : now - oldest,
            shortfall: Math.max(short, this.turnedAway[tier] ?? 0),
        };
    }
}
