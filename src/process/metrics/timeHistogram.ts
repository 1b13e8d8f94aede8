import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "../../util/clock.js";
import type { ExpositionWriter, MetricLabels } from "./expositionWriter.js";

/** Upper bound of recorded times, in microseconds; longer ones are clamped to it. */
const maximumMicroseconds = 3_600_000_000;

/** Quantiles written to the metrics. */
const exposedQuantiles = [0.5, 0.95, 0.99] as const;

/** Count and quantiles of a histogram, the latter in milliseconds. */
export interface TimeSummary {
    readonly count: number;
    readonly p50: Milliseconds;
    readonly p95: Milliseconds;
    readonly p99: Milliseconds;
}

/** Histogram of durations with two significant digits of precision. */
export class TimeHistogram {
    private readonly histogram: Histogram = build({
        bitBucketSize: "packed",
        highestTrackableValue: maximumMicroseconds,
        numberOfSignificantValueDigits: 2,
    });

    /** Number of recorded times. */
    get count(): number {
        return this.histogram.totalCount;
    }

    /** Longest recorded time, or 0 without samples. */
    get maximum(): Milliseconds {
        return this.count === 0 ? 0 : this.histogram.maxValue / 1000;
    }

    /** Records a duration; negative ones count as 0. */
    record(time: Milliseconds): void {
        this.histogram.recordValue(Math.min(maximumMicroseconds, Math.max(0, Math.round(time * 1000))));
    }

    /** Adds all samples of another histogram. */
    add(other: TimeHistogram): void {
        this.histogram.add(other.histogram);
    }

    /**
     * Returns a quantile, or 0 without samples.
     *
     * @param fraction Between 0 and 1.
     */
    quantile(fraction: number): Milliseconds {
        return this.count === 0 ? 0 : this.histogram.getValueAtPercentile(fraction * 100) / 1000;
    }

    /** Returns the count and the usual quantiles. */
    summary(): TimeSummary {
        const { count } = this;
        return { count, p50: this.quantile(0.5), p95: this.quantile(0.95), p99: this.quantile(0.99) };
    }

    /** Writes the histogram as a metric of type summary, in seconds; writes nothing without samples. */
    write(writer: ExpositionWriter, family: string, labels: MetricLabels): void {
        if (this.count === 0) {
            return;
        }
        for (const fraction of exposedQuantiles) {
            writer.sample(family, { ...labels, quantile: String(fraction) }, this.quantile(fraction) / 1000);
        }
        writer.sample(family, labels, (this.histogram.mean * this.count) / 1e6, "_sum");
        writer.sample(family, labels, this.count, "_count");
    }
}
