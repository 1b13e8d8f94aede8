import type { Milliseconds } from "../../util/clock.js";
import type { ExpositionWriter, MetricLabels } from "../metrics/expositionWriter.js";
import { TimeHistogram } from "../metrics/timeHistogram.js";
import type { TimeSummary } from "../metrics/timeHistogram.js";
import { EntryCounters } from "./entryCounters.js";

/** Number of series by class and team, after which the requests of further teams are recorded as "other". */
const maximumSeries = 200;

/** Label of the series that hold the requests of teams without a series of their own. */
const otherTeam = "other";

/** Durations that are recorded for requests. */
export const timeMetrics = ["queueWait", "firstToken", "betweenTokens", "total"] as const;

/** Name of a recorded duration. */
export type TimeMetric = typeof timeMetrics[number];

/** Outcomes of requests, as in the label `end`. */
const requestEnds = ["answered", "refused", "failed", "callerLeft"] as const;

/** Outcome of a request. */
export type RequestEnd = typeof requestEnds[number];

/** Identifies a series. */
export interface SeriesLabels {
    readonly requestClass: string;
    readonly team: string;
}

/** Statistics of one class, aggregated over all teams. */
export interface ClassStatistics {
    readonly requestClass: string;
    readonly ends: Readonly<Record<RequestEnd, number>>;
    /** Number of answered requests that met the target of the class. */
    readonly withinTarget: number;
    readonly times: Readonly<Record<TimeMetric, TimeSummary>>;
}

interface Series extends SeriesLabels {
    readonly times: Readonly<Record<TimeMetric, TimeHistogram>>;
    readonly ends: Record<RequestEnd, number>;
    withinTarget: number;
}

/** Metric families of the recorded durations and their help texts. */
const timeFamilies: Readonly<Record<TimeMetric, readonly [name: string, help: string]>> = {
    queueWait: ["gullhall_queue_wait_seconds", "Time from arrival to dispatch."],
    firstToken: ["gullhall_first_token_seconds", "Time from arrival to the first token."],
    betweenTokens: ["gullhall_between_tokens_seconds", "Time between two tokens of an answer."],
    total: ["gullhall_total_seconds", "Time from arrival to the end of the answer."],
};

const endsFamily = "gullhall_requests_total";
const targetFamily = "gullhall_requests_within_target_total";

/** Histograms and counters of an entry by class and team; their number is bounded. */
export class EntryMetrics {
    /** Counters aggregated over all classes and teams. */
    readonly counters = new EntryCounters();
    private readonly series = new Map<string, Series>();

    /** Records a duration of a request. */
    recordTime(labels: SeriesLabels, metric: TimeMetric, time: Milliseconds): void {
        this.seriesOf(labels).times[metric].record(time);
    }

    /** Counts a finished request by its outcome and by whether it met the target of its class. */
    countEnd(labels: SeriesLabels, end: RequestEnd, withinTarget: boolean): void {
        const series = this.seriesOf(labels);
        series.ends[end]++;
        series.withinTarget += withinTarget ? 1 : 0;
    }

    /** Statistics of each class over all teams, in the order of first use. */
    classStatistics(): readonly ClassStatistics[] {
        const sums = new Map<string, Series>();
        for (const series of this.series.values()) {
            const { requestClass } = series;
            const sum = sums.get(requestClass) ?? createSeries({ requestClass, team: otherTeam });
            sums.set(requestClass, sum);
            addSeries(sum, series);
        }
        return [...sums.values()].map(({ requestClass, ends, withinTarget, times }) => ({
            requestClass,
            ends,
            withinTarget,
            times: {
                queueWait: times.queueWait.summary(),
                firstToken: times.firstToken.summary(),
                betweenTokens: times.betweenTokens.summary(),
                total: times.total.summary(),
            },
        }));
    }

    /** Writes all series and counters. */
    write(writer: ExpositionWriter): void {
        for (const [name, help] of Object.values(timeFamilies)) {
            writer.family(name, "summary", help);
        }
        writer.family(endsFamily, "counter", "Requests by how they ended.");
        writer.family(targetFamily, "counter", "Answered requests that met the target of their class.");
        for (const series of this.series.values()) {
            writeSeries(writer, series);
        }
        this.counters.write(writer);
    }

    private seriesOf(labels: SeriesLabels): Series {
        const key = `${labels.requestClass}/${labels.team}`;
        const existing = this.series.get(key);
        if (existing !== undefined) {
            return existing;
        }
        if (this.series.size >= maximumSeries && labels.team !== otherTeam) {
            return this.seriesOf({ requestClass: labels.requestClass, team: otherTeam });
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
            queueWait: new TimeHistogram(),
            firstToken: new TimeHistogram(),
            betweenTokens: new TimeHistogram(),
            total: new TimeHistogram(),
        },
        ends: { answered: 0, refused: 0, failed: 0, callerLeft: 0 },
        withinTarget: 0,
    };
}

function addSeries(sum: Series, added: Series): void {
    for (const metric of timeMetrics) {
        sum.times[metric].add(added.times[metric]);
    }
    for (const end of requestEnds) {
        sum.ends[end] += added.ends[end];
    }
    sum.withinTarget += added.withinTarget;
}

function writeSeries(writer: ExpositionWriter, series: Series): void {
    const labels: MetricLabels = { class: series.requestClass, team: series.team };
    for (const metric of timeMetrics) {
        series.times[metric].write(writer, timeFamilies[metric][0], labels);
    }
    for (const end of requestEnds) {
        writer.sample(endsFamily, { ...labels, end }, series.ends[end]);
    }
    writer.sample(targetFamily, labels, series.withinTarget);
}
