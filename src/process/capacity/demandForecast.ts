import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { WorkRate } from "./capacityPlanner.js";

/** Parameters of a {@link DemandForecast}. */
export interface ForecastSettings {
    /** Period of the daily profile. */
    readonly dayLength: Milliseconds;
    /** Number of buckets in the daily profile. */
    readonly buckets: number;
    /** Time constant of the smoothed level. */
    readonly levelTimeConstant: Milliseconds;
    /** Time constant of the smoothed trend. */
    readonly trendTimeConstant: Milliseconds;
    /** Weight of the newest day in the average of a bucket, from 0 to 1. */
    readonly newestDayWeight: number;
    /** Maximum growth factor that profile or trend may predict; its reciprocal is the minimum. */
    readonly maximumGrowth: number;
}

/** Default settings, for a period of 24 hours. */
export const defaultForecastSettings: ForecastSettings = {
    dayLength: 24 * 3_600_000,
    buckets: 96,
    levelTimeConstant: 30_000,
    trendTimeConstant: 90_000,
    newestDayWeight: 0.5,
    maximumGrowth: 1.6,
};

/** Demand at one time of day. */
interface Bucket {
    /** Weighted average over days. */
    readonly mean: number;
    /** Number of days in the average. */
    readonly days: number;
}

/**
 * Forecasts the maximum of one rate of work within a horizon.
 *
 * Estimates level and trend by Holt's linear method, with time constants instead of fixed weights, and a daily profile:
 * a weighted average over days for each time of day.
 */
export class DemandForecast {
    private level = 0;
    /** Change of the level, per millisecond. */
    private trend = 0;
    /** Variance of the demand around its prediction. */
    private variance = 0;
    private lastObservedAt: UnixMilliseconds | undefined;
    private readonly dailyProfile: (Bucket | undefined)[];
    private bucketSum = 0;
    private bucketSampleCount = 0;
    private currentBucketIndex = -1;

    constructor(private readonly settings: ForecastSettings) {
        this.dailyProfile = Array.from({ length: settings.buckets }, () => undefined);
    }

    /** Standard deviation of the demand around its prediction, as a fraction of the level; 0 where the level is 0. */
    get relativeDeviation(): number {
        return this.level <= 0 ? 0 : Math.sqrt(this.variance) / this.level;
    }

    /** Updates the forecast with the demand since the last call. */
    observe(demand: WorkRate, now: UnixMilliseconds): void {
        const elapsed = this.lastObservedAt === undefined ? 0 : now - this.lastObservedAt;
        this.updateDailyProfile(demand, now);
        if (this.lastObservedAt === undefined) {
            this.level = demand;
        }
        else if (elapsed > 0) {
            this.updateLevelAndTrend(demand, elapsed);
        }
        this.lastObservedAt = now;
    }

    /** Predicts the maximum of the smoothed demand from now to the end of the horizon. */
    predictMaximum(now: UnixMilliseconds, horizon: Milliseconds): WorkRate {
        const steps = 8;
        const values = [...Array(steps + 1).keys()].map(step => this.predictAt(now, horizon * step / steps));
        return Math.max(...values);
    }

    private predictAt(now: UnixMilliseconds, ahead: Milliseconds): WorkRate {
        const present = this.profileDemandAt(now);
        const later = this.profileDemandAt(now + ahead);
        const hasProfile = present !== undefined && later !== undefined && present > 0;
        const growth = hasProfile ? later / present : 1 + this.trend * ahead / Math.max(this.level, 1e-9);
        const boundedGrowth = Math.min(this.settings.maximumGrowth, Math.max(1 / this.settings.maximumGrowth, growth));
        return this.level * boundedGrowth;
    }

    private updateLevelAndTrend(demand: WorkRate, elapsed: Milliseconds): void {
        const levelWeight = 1 - Math.exp(-elapsed / this.settings.levelTimeConstant);
        const trendWeight = 1 - Math.exp(-elapsed / this.settings.trendTimeConstant);
        const expected = this.level + this.trend * elapsed;
        const deviation = demand - expected;
        const level = expected + levelWeight * deviation;
        this.trend += trendWeight * ((level - this.level) / elapsed - this.trend);
        this.variance += trendWeight / 4 * (deviation ** 2 - this.variance);
        this.level = level;
    }

    private updateDailyProfile(demand: WorkRate, now: UnixMilliseconds): void {
        const index = Math.floor(this.bucketPositionAt(now));
        if (index !== this.currentBucketIndex && this.bucketSampleCount > 0) {
            const previous = this.dailyProfile[this.currentBucketIndex];
            const mean = this.bucketSum / this.bucketSampleCount;
            const weight = previous === undefined ? 1 : this.settings.newestDayWeight;
            const previousMean = previous?.mean ?? 0;
            this.dailyProfile[this.currentBucketIndex] = {
                mean: previousMean + weight * (mean - previousMean),
                days: (previous?.days ?? 0) + 1,
            };
            this.bucketSum = 0;
            this.bucketSampleCount = 0;
        }
        this.currentBucketIndex = index;
        this.bucketSum += demand;
        this.bucketSampleCount += 1;
    }

    /**
     * Returns the profile's demand at a time of day, interpolated between the middles of two buckets.
     *
     * Returns undefined where one of the two buckets has no data yet.
     */
    private profileDemandAt(time: UnixMilliseconds): number | undefined {
        const position = this.bucketPositionAt(time) - 0.5;
        const left = Math.floor(position);
        const count = this.settings.buckets;
        const before = this.dailyProfile[(left + count) % count];
        const after = this.dailyProfile[(left + 1) % count];
        if (before === undefined || after === undefined) {
            return undefined;
        }
        return before.mean + (after.mean - before.mean) * (position - left);
    }

    private bucketPositionAt(time: UnixMilliseconds): number {
        return time % this.settings.dayLength / this.settings.dayLength * this.settings.buckets;
    }
}
