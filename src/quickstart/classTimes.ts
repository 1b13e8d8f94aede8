import { TimeHistogram } from "../process/metrics/timeHistogram.js";
import type { Milliseconds } from "../util/clock.js";

/** Widest bar, in characters. */
const barWidth = 40;

/** Upper bound of the first bucket, in milliseconds; each further bucket is twice as wide. */
const firstBound: Milliseconds = 16;

/** Times of requests by class, as callers saw them. */
export class ClassTimes {
    private readonly times = new Map<string, Milliseconds[]>();

    /** Records the time of an answered request. */
    record(requestClass: string, time: Milliseconds): void {
        this.times.set(requestClass, [...(this.times.get(requestClass) ?? []), time]);
    }

    /** A histogram of each class for people: one line for each bucket. */
    lines(): readonly string[] {
        return [...this.times].flatMap(([requestClass, times]) => classLines(requestClass, times));
    }
}

function classLines(requestClass: string, times: readonly Milliseconds[]): readonly string[] {
    const histogram = new TimeHistogram();
    times.forEach(time => {
        histogram.record(time);
    });
    const { count, p50, p95 } = histogram.summary();
    const title = `${requestClass}: ${count} answers, p50 ${p50.toFixed(0)} ms, p95 ${p95.toFixed(0)} ms`;
    const counts = bucketCounts(times);
    const largest = Math.max(...counts.values());
    const bars = [...counts].map(([bound, inBucket]) => {
        const bar = "#".repeat(Math.max(1, Math.round((inBucket / largest) * barWidth)));
        return `  below ${String(bound).padStart(6)} ms ${String(inBucket).padStart(4)} ${bar}`;
    });
    return [title, ...bars];
}

/** Number of times in each bucket that is not empty, by upper bound. */
function bucketCounts(times: readonly Milliseconds[]): ReadonlyMap<Milliseconds, number> {
    const counts = new Map<Milliseconds, number>();
    for (const time of [...times].sort((left, right) => left - right)) {
        const doublings = Math.max(0, Math.floor(Math.log2(time / firstBound)) + 1);
        const bound = firstBound * 2 ** doublings;
        counts.set(bound, (counts.get(bound) ?? 0) + 1);
    }
    return counts;
}
