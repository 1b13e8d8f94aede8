import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "../../util/clock.js";

/** Largest recorded time, in microseconds. */
const highestMicroseconds = 3_600_000_000;

/** Teams and classes with histograms of their own; further ones are recorded together under "other". */
const maximumSeries = 200;

/** Name under which series beyond the limit are recorded. */
const otherSeries = "other";

/** What is measured of a request, in milliseconds. */
export const measuredTimes = ["queueWait", "firstToken", "betweenTokens", "total"] as const;

/** Name of a measured time. */
export type MeasuredTime = typeof measuredTimes[number];

/** Whose times a series holds. */
export interface SeriesLabels {
    readonly requestClass: string;
    readonly team: string;
}

/** How a request ended. */
export type RequestEnd = "answered" | "refused" | "failed" | "callerLeft";

/** What is counted over all requests. */
export const entryCounters = [
    "firstAttempts",
    "retries",
    "resumes",
    "preemptions",
    "foreignAnswers",
    "malformedAnswers",
    "stalledAnswers",
    "callersCut",
    "callersRefused",
    "claimsRepeated",
    "claimsUnconfirmed",
] as const;

/** Name of a counter. */
export type EntryCounter = typeof entryCounters[number];

interface Series extends SeriesLabels {
    readonly times: Readonly<Record<MeasuredTime, Histogram>>;
    readonly ends: Record<RequestEnd, number>;
    withinTarget: number;
}

/** Histograms and counters of an entry, for each class and team; bounded in number. */
export class EntryMetrics {
    private readonly series = new Map<string, Series>();
    private readonly counts = new Map<EntryCounter, number>(entryCounters.map(counter => [counter, 0]));

    /** Adds to a counter. */
    count(counter: EntryCounter, increment = 1): void {
        this.counts.set(counter, this.countOf(counter) + increment);
    }

    /** The present value of a counter. */
    countOf(counter: EntryCounter): number {
        return this.counts.get(counter) ?? 0;
    }

    /** Records a time of a request. */
    recordTime(labels: SeriesLabels, measured: MeasuredTime, time: Milliseconds): void {
        const microseconds = Math.min(highestMicroseconds, Math.max(0, Math.round(time * 1000)));
        this.seriesOf(labels).times[measured].recordValue(microseconds);
    }

    /** Counts the end of a request, and whether it met its class's target. */
    countEnd(labels: SeriesLabels, end: RequestEnd, withinTarget: boolean): void {
        const series = this.seriesOf(labels);
        series.ends[end]++;
        series.withinTarget += withinTarget ? 1 : 0;
    }

    /** The metrics in the common text exposition format; times in seconds. */
    exposition(): string {
        const lines: string[] = [];
        for (const series of this.series.values()) {
            const labels = `class="${series.requestClass}",team="${series.team}"`;
            for (const measured of measuredTimes) {
                lines.push(...histogramLines(measured, labels, series.times[measured]));
            }
            for (const [end, count] of Object.entries(series.ends)) {
                lines.push(`gullhall_requests_total{${labels},end="${end}"} ${count}`);
            }
            lines.push(`gullhall_requests_within_target_total{${labels}} ${series.withinTarget}`);
        }
        for (const [counter, count] of this.counts) {
            lines.push(`gullhall_${snakeCase(counter)}_total ${count}`);
        }
        return `${lines.join("\n")}\n`;
    }

    private seriesOf(labels: SeriesLabels): Series {
        const key = `${labels.requestClass}/${labels.team}`;
        const known = this.series.get(key);
        if (known !== undefined) {
            return known;
        }
        if (this.series.size >= maximumSeries && labels.team !== otherSeries) {
            return this.seriesOf({ requestClass: labels.requestClass, team: otherSeries });
        }
        const created = createSeries(labels);
        this.series.set(key, created);
        return created;
    }
}

function createSeries(labels: SeriesLabels): Series {
    return {
        ...labels,
        times: {
            queueWait: createHistogram(),
            firstToken: createHistogram(),
            betweenTokens: createHistogram(),
            total: createHistogram(),
        },
        ends: { answered: 0, refused: 0, failed: 0, callerLeft: 0 },
        withinTarget: 0,
    };
}

function createHistogram(): Histogram {
    return build({
        bitBucketSize: "packed",
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 2,
    });
}

function histogramLines(measured: MeasuredTime, labels: string, histogram: Histogram): readonly string[] {
    if (histogram.totalCount === 0) {
        return [];
    }
    const name = `gullhall_${snakeCase(measured)}_seconds`;
    const quantiles = [0.5, 0.95, 0.99].map(quantile => {
        const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
        return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
    });
    return [...quantiles, `${name}_count{${labels}} ${histogram.totalCount}`];
}

function snakeCase(name: string): string {
    return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
