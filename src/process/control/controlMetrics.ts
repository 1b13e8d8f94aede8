import type { HttpListeners } from "../../connection/server/httpListeners.js";
import { ExpositionWriter } from "../metrics/expositionWriter.js";
import type { TimeHistogram } from "../metrics/timeHistogram.js";
import type { ControlStateReport } from "./controlStateReport.js";

/** Name of the metric for the time until a version is in force. */
const inForceMetric = "gullhall_in_force_seconds";

/** Name, help text and value of each gauge of a control process. */
const gauges: readonly (readonly [name: string, help: string, value: (report: ControlStateReport) => number])[] = [
    ["gullhall_control_term", "Newest term seen.", report => report.term],
    ["gullhall_control_leads", "1 while this member leads.", report => report.role === "leader" ? 1 : 0],
    ["gullhall_control_holds_lease", "1 while it may act towards the platform.", report => report.holdsLease ? 1 : 0],
    ["gullhall_control_halted", "1 after the member halted to keep the log safe.", report => report.halted ? 1 : 0],
    ["gullhall_control_members", "Members of the log group.", report => report.members],
    ["gullhall_log_last_position", "Position of the last stored entry.", report => report.lastPosition],
    ["gullhall_log_commit_position", "Position up to which entries are committed.", report => report.commitPosition],
    ["gullhall_log_applied_position", "Position up to which entries are applied.", report => report.appliedPosition],
    ["gullhall_configuration_version", "Version of the configuration.", report => report.version],
    ["gullhall_entries_connected", "Entries connected to this leader.", report => report.connectedEntries],
    ["gullhall_entries_draining", "Connected entries that stop.", report => report.drainingEntries],
    ["gullhall_entries_cut_off", "Entries that may serve without a connection.", report => report.cutOffEntries],
    ["gullhall_entries_behind", "Entries that may serve with an older version.", report => report.entriesBehind],
    [
        "gullhall_in_force_pending_seconds",
        "Age of the oldest version that is not in force everywhere.",
        report => report.inForcePending / 1000,
    ],
];

/** Renders the metrics of a control process as a Prometheus exposition. */
export function renderControlMetrics(
    report: ControlStateReport,
    inForceTimes: TimeHistogram,
    listeners: HttpListeners,
): string {
    const writer = new ExpositionWriter();
    for (const [name, help, value] of gauges) {
        writer.family(name, "gauge", help);
        writer.sample(name, {}, value(report));
    }
    writer.family(inForceMetric, "summary", "Time from the acceptance of a version until it is in force everywhere.");
    inForceTimes.write(writer, inForceMetric, {});
    listeners.write(writer);
    return writer.toString();
}
