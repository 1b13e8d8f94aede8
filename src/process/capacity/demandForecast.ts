import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { WorkRate } from "./capacityPlanner.js";

/** How a {@link DemandForecast} learns. */
export interface ForecastSettings {
    /** Span after which the shape of demand repeats. */
    readonly dayLength: Milliseconds;
    /** Parts of a day whose demand is learnt apart. */
    readonly buckets: number;
    /** Time constant of the smoothed level. */
    readonly levelTime: Milliseconds;
    /** Time constant of the smoothed trend. */
    readonly trendTime: Milliseconds;
    /** Weight of the newest day in the learnt shape. */
    readonly dayWeight: number;
    /** Bounds of the growth within the horizon that shape or trend may predict, as a factor. */
    readonly largestGrowth: number;
}

/** The settings of a cluster. */
export const defaultForecastSettings: ForecastSettings = {
    dayLength: 24 * 3_600_000,
    buckets: 96,
    levelTime: 30_000,
    trendTime: 90_000,
    dayWeight: 0.5,
    largestGrowth: 1.6,
};

interface Bucket {
    readonly mean: number;
    readonly days: number;
}

/**
 * Learns level, trend and daily shape of one rate of work and predicts its largest value within a horizon.
 *
 * Level and trend follow Holt's linear method with time constants; the shape is an average by time of day.
 */
export class DemandForecast {
    private level = 0;
    private trend = 0;
    private variance = 0;
    private lastAt: UnixMilliseconds | undefined;
    private readonly shape: (Bucket | undefined)[];
    private bucketSum = 0;
    private bucketCount = 0;
    private bucketIndex = -1;

    constructor(private readonly settings: ForecastSettings) {
        this.shape = Array.from({ length: settings.buckets }, () => undefined);
    }

    /** Standard deviation of the demand around its smoothed level, as a part of the level. */
    get noise(): number {
        return this.level <= 0 ? 0 : Math.sqrt(this.variance) / this.level;
    }

    /** Takes in the demand of the time since the last call. */
    observe(demand: WorkRate, now: UnixMilliseconds): void {
        const elapsed = this.lastAt === undefined ? 0 : now - this.lastAt;
        this.learnShape(demand, now);
        if (this.lastAt === undefined) {
            this.level = demand;
        }
        else if (elapsed > 0) {
            this.follow(demand, elapsed);
        }
        this.lastAt = now;
    }

    /** The largest smoothed demand that is expected from now to the end of the horizon. */
    highest(now: UnixMilliseconds, horizon: Milliseconds): WorkRate {
        const steps = 8;
        const values = [...Array(steps + 1).keys()].map(step => this.at(now, horizon * step / steps));
        return Math.max(...values);
    }

    private at(now: UnixMilliseconds, ahead: Milliseconds): WorkRate {
        const present = this.shapeAt(now);
        const later = this.shapeAt(now + ahead);
        const known = present !== undefined && later !== undefined && present > 0;
        const growth = known ? later / present : 1 + this.trend * ahead / Math.max(this.level, 1e-9);
        const bounded = Math.min(this.settings.largestGrowth, Math.max(1 / this.settings.largestGrowth, growth));
        return this.level * bounded;
    }

    private follow(demand: WorkRate, elapsed: Milliseconds): void {
        const levelWeight = 1 - Math.exp(-elapsed / this.settings.levelTime);
        const trendWeight = 1 - Math.exp(-elapsed / this.settings.trendTime);
        const expected = this.level + this.trend * elapsed;
        const deviation = demand - expected;
        const level = expected + levelWeight * deviation;
        this.trend += trendWeight * ((level - this.level) / elapsed - this.trend);
        this.variance += trendWeight / 4 * (deviation ** 2 - this.variance);
        this.level = level;
    }

    private learnShape(demand: WorkRate, now: UnixMilliseconds): void {
        const index = Math.floor(this.positionAt(now));
        if (index !== this.bucketIndex && this.bucketCount > 0) {
            const known = this.shape[this.bucketIndex];
            const mean = this.bucketSum / this.bucketCount;
            const weight = known === undefined ? 1 : this.settings.dayWeight;
            const before = known?.mean ?? 0;
            this.shape[this.bucketIndex] = { mean: before + weight * (mean - before), days: (known?.days ?? 0) + 1 };
            this.bucketSum = 0;
            this.bucketCount = 0;
        }
        this.bucketIndex = index;
        this.bucketSum += demand;
        this.bucketCount += 1;
    }

    /** Learnt demand at a time of day, between the middles of two buckets; undefined where none was learnt. */
    private shapeAt(time: UnixMilliseconds): number | undefined {
        const position = this.positionAt(time) - 0.5;
        const left = Math.floor(position);
        const count = this.settings.buckets;
        const before = this.shape[(left + count) % count];
        const after = this.shape[(left + 1) % count];
        if (before === undefined || after === undefined) {
            return undefined;
        }
        return before.mean + (after.mean - before.mean) * (position - left);
    }

    private positionAt(time: UnixMilliseconds): number {
        return time % this.settings.dayLength / this.settings.dayLength * this.settings.buckets;
    }
}
