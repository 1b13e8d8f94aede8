import type { TimeSummary } from "../../process/metrics/timeHistogram.js";
import type { FlowReport } from "./loadStatistics.js";

const columns = [
    "team",
    "class",
    "requests",
    "attained",
    "first p50",
    "first p99",
    "total p50",
    "total p99",
    "outcomes",
];

/** Formats the reports of a run as a text table; times are in milliseconds. */
export function formatLoadTable(reports: readonly FlowReport[]): string {
    const rows = reports.map(flow => [
        flow.team,
        flow.requestClass,
        String(flow.requests),
        `${(100 * flow.attainment).toFixed(1)}%`,
        ...formatTimes(flow.firstToken),
        ...formatTimes(flow.total),
        Object.entries(flow.outcomes).map(([kind, count]) => `${kind} ${count}`).join(", "),
    ]);
    const widths = columns.map((name, column) => Math.max(name.length, ...rows.map(row => row[column]?.length ?? 0)));
    return [columns, ...rows]
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

function formatTimes(times: TimeSummary): readonly string[] {
    return times.count === 0 ? ["-", "-"] : [times.p50.toFixed(0), times.p99.toFixed(0)];
}
