import type { Milliseconds } from "../../util/clock.js";
import type { ExpositionWriter, MetricLabels } from "../metrics/expositionWriter.js";
import { TimeHistogram } from "../metrics/timeHistogram.js";
import type { TimeSummary } from "../metrics/timeHistogram.js";
import { EntryCounters } from "./entryCounters.js";

/** Pairs of class and team with a series of their own; further teams are recorded together under "other". */
const maximumSeries = 200;

/** Team under which requests beyond the limit are recorded. */
const otherTeam = "other";

/** What is measured of a request. */
export const measuredTimes = ["queueWait", "firstToken", "betweenTokens", "total"] as const;

/** Name of a measured time. */
export type MeasuredTime = typeof measuredTimes[number];

/** Ways in which a request ends. */
const requestEnds = ["answered", "refused", "failed", "callerLeft"] as const;

/** How a request ended. */
export type RequestEnd = typeof requestEnds[number];

/** Whose times a series holds. */
export interface SeriesLabels {
    readonly requestClass: string;
    readonly team: string;
}

/** The figures of one class over all teams. */
export interface ClassFigures {
    readonly requestClass: string;
    readonly ends: Readonly<Record<RequestEnd, number>>;
    /** Answered requests that met the target of the class. */
    readonly withinTarget: number;
    readonly times: Readonly<Record<MeasuredTime, TimeSummary>>;
}

interface Series extends SeriesLabels {
    readonly times: Readonly<Record<MeasuredTime, TimeHistogram>>;
    readonly ends: Record<RequestEnd, number>;
    withinTarget: number;
}

/** Families of the measured times and their help texts. */
const timeFamilies: Readonly<Record<MeasuredTime, readonly [name: string, help: string]>> = {
    queueWait: ["gullhall_queue_wait_seconds", "Time from arrival to dispatch."],
    firstToken: ["gullhall_first_token_seconds", "Time from arrival to the first token."],
    betweenTokens: ["gullhall_between_tokens_seconds", "Time between two tokens of an answer."],
    total: ["gullhall_total_seconds", "Time from arrival to the end of the answer."],
};

const endsFamily = "gullhall_requests_total";
const targetFamily = "gullhall_requests_within_target_total";

/** Histograms and counters of an entry, for each class and team; bounded in number. */
export class EntryMetrics {
    /** What is counted over all classes and teams. */
    readonly counters = new EntryCounters();
    private readonly series = new Map<string, Series>();

    /** Records a time of a request. */
    recordTime(labels: SeriesLabels, measured: MeasuredTime, time: Milliseconds): void {
        this.seriesOf(labels).times[measured].record(time);
    }

    /** Counts the end of a request, and whether it met its class's target. */
    countEnd(labels: SeriesLabels, end: RequestEnd, withinTarget: boolean): void {
        const series = this.seriesOf(labels);
        series.ends[end]++;
        series.withinTarget += withinTarget ? 1 : 0;
    }

    /** The figures of each class over all teams, in the order in which classes were first used. */
    classFigures(): readonly ClassFigures[] {
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

    /** Writes every series. */
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
        const known = this.series.get(key);
        if (known !== undefined) {
            return known;
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
    for (const measured of measuredTimes) {
        sum.times[measured].add(added.times[measured]);
    }
    for (const end of requestEnds) {
        sum.ends[end] += added.ends[end];
    }
    sum.withinTarget += added.withinTarget;
}

function writeSeries(writer: ExpositionWriter, series: Series): void {
    const labels: MetricLabels = { class: series.requestClass, team: series.team };
    for (const measured of measuredTimes) {
        series.times[measured].write(writer, timeFamilies[measured][0], labels);
    }
    for (const end of requestEnds) {
        writer.sample(endsFamily, { ...labels, end }, series.ends[end]);
    }
    writer.sample(targetFamily, labels, series.withinTarget);
}
