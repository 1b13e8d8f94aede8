import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "../../util/clock.js";
import type { ExpositionWriter, MetricLabels } from "./expositionWriter.js";

/** Largest recorded time, in microseconds; longer ones are recorded as this. */
const highestMicroseconds = 3_600_000_000;

/** Quantiles that are shown. */
const shownQuantiles = [0.5, 0.95, 0.99] as const;

/** The figures of a histogram, in milliseconds. */
export interface TimeSummary {
    readonly count: number;
    readonly p50: Milliseconds;
    readonly p95: Milliseconds;
    readonly p99: Milliseconds;
}

/** A histogram of times, exact to two significant digits. */
export class TimeHistogram {
    private readonly histogram: Histogram = build({
        bitBucketSize: "packed",
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 2,
    });

    /** Number of recorded times. */
    get count(): number {
        return this.histogram.totalCount;
    }

    /** Records a time; a negative one counts as zero. */
    record(time: Milliseconds): void {
        this.histogram.recordValue(Math.min(highestMicroseconds, Math.max(0, Math.round(time * 1000))));
    }

    /** Adds all times of another histogram. */
    add(other: TimeHistogram): void {
        this.histogram.add(other.histogram);
    }

    /** The time below which a fraction of the recorded ones lies; 0 where nothing was recorded. */
    quantile(fraction: number): Milliseconds {
        return this.count === 0 ? 0 : this.histogram.getValueAtPercentile(fraction * 100) / 1000;
    }

    /** The figures for people and programs. */
    summary(): TimeSummary {
        const { count } = this;
        return { count, p50: this.quantile(0.5), p95: this.quantile(0.95), p99: this.quantile(0.99) };
    }

    /** Writes the histogram as a summary in seconds; nothing where nothing was recorded. */
    write(writer: ExpositionWriter, family: string, labels: MetricLabels): void {
        if (this.count === 0) {
            return;
        }
        for (const fraction of shownQuantiles) {
            writer.sample(family, { ...labels, quantile: String(fraction) }, this.quantile(fraction) / 1000);
        }
        writer.sample(family, labels, (this.histogram.mean * this.count) / 1e6, "_sum");
        writer.sample(family, labels, this.count, "_count");
    }
}
