import { TimeHistogram } from "../process/metrics/timeHistogram.js";
import type { Milliseconds } from "../util/clock.js";

/** Length of the bar of the fullest bucket, in characters. */
const maximumBarLength = 40;

/** Upper bound of the first bucket, in milliseconds; the bound doubles from one bucket to the next. */
const firstBucketBound: Milliseconds = 16;

/** Latencies of requests by request class, measured by the caller. */
export class ClassLatencies {
    private readonly latencies = new Map<string, Milliseconds[]>();

    /** Records the latency of one request. */
    record(requestClass: string, latency: Milliseconds): void {
        this.latencies.set(requestClass, [...(this.latencies.get(requestClass) ?? []), latency]);
    }

    /** Formats a histogram for each class as text, with one line for each bucket. */
    lines(): readonly string[] {
        return [...this.latencies].flatMap(([requestClass, latencies]) => classLines(requestClass, latencies));
    }
}

function classLines(requestClass: string, latencies: readonly Milliseconds[]): readonly string[] {
    const histogram = new TimeHistogram();
    latencies.forEach(latency => {
        histogram.record(latency);
    });
    const { count, p50, p95 } = histogram.summary();
    const title = `${requestClass}: ${count} responses, p50 ${p50.toFixed(0)} ms, p95 ${p95.toFixed(0)} ms`;
    const counts = bucketCounts(latencies);
    const largest = Math.max(...counts.values());
    const bars = [...counts].map(([bound, bucketCount]) => {
        const bar = "#".repeat(Math.max(1, Math.round((bucketCount / largest) * maximumBarLength)));
        return `  below ${String(bound).padStart(6)} ms ${String(bucketCount).padStart(4)} ${bar}`;
    });
    return [title, ...bars];
}

/** Number of latencies in each bucket that is not empty, by the upper bound of the bucket in milliseconds. */
function bucketCounts(latencies: readonly Milliseconds[]): ReadonlyMap<Milliseconds, number> {
    const counts = new Map<Milliseconds, number>();
    for (const latency of [...latencies].sort((left, right) => left - right)) {
        const doublings = Math.max(0, Math.floor(Math.log2(latency / firstBucketBound)) + 1);
        const bound = firstBucketBound * 2 ** doublings;
        counts.set(bound, (counts.get(bound) ?? 0) + 1);
    }
    return counts;
}
