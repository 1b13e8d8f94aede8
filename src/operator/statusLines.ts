import type { EntryState, ShownStatus } from "./answerSchemas.js";
import type { FetchedState } from "./entryStateClient.js";
import { textTable } from "./textTable.js";

/** Shown where a figure is not known. */
const unknownFigure = "?";

/** The state of the cluster for people. */
export function statusLines(status: ShownStatus, states: readonly FetchedState[]): readonly string[] {
    return [
        ...controlLines(status),
        "",
        ...memberLines(status.members),
        "",
        ...entryLines(status),
        "",
        ...endpointLines(status, states),
        "",
        ...classLines(states),
    ];
}

function controlLines(status: ShownStatus): readonly string[] {
    const { control, fencingNumber, log, version, manifest } = status;
    const submitted = manifest === undefined
        ? "no manifest"
        : `manifest ${manifest.number ?? unknownFigure} by ${manifest.operator} at ${isoTime(manifest.receivedAt)}`;
    return [
        `leader   ${control}, holds the lease of term ${fencingNumber}`,
        `log      last ${log.lastPosition}, committed ${log.commitPosition}, applied ${log.appliedPosition}`,
        `version  ${version}, ${submitted}`,
    ];
}

/** The members of the log group for people. */
export function memberLines(members: ShownStatus["members"]): readonly string[] {
    const rows = members.map(member => [
        member.memberId,
        member.leads ? "leader" : member.role,
        member.address,
        member.operatorAddress,
    ]);
    return textTable(["member", "role", "peers at", "operators at"], rows);
}

/** A time in the form of ISO 8601. */
export function isoTime(unixMilliseconds: number): string {
    return new Date(unixMilliseconds).toISOString();
}

function entryLines({ version, entries, entriesComplete }: ShownStatus): readonly string[] {
    const rows = entries.map(entry => [
        entry.entry,
        entry.failureDomain,
        entry.callerAddress,
        `${entry.version}${entry.version < version ? " (behind)" : ""}`,
        entry.draining ? "draining" : entry.connected ? "serves" : `cut off, ${entry.permitLeft} ms left`,
        String(entry.runningRequests),
        String(entry.waitingRequests),
    ]);
    const table = textTable(["entry", "failure domain", "callers at", "version", "state", "running", "waiting"], rows);
    return entriesComplete ? table : [...table, "The leader is new; entries may be missing for a few seconds."];
}

function endpointLines({ pools }: ShownStatus, states: readonly FetchedState[]): readonly string[] {
    const rows = pools.flatMap(pool =>
        pool.endpoints.map(endpoint => {
            const seen = states.flatMap(({ state }) => endpointReport(state, pool.name, endpoint.name));
            const running = seen.reduce((sum, report) => sum + report.running, 0);
            return [
                pool.name,
                endpoint.name,
                endpoint.failureDomain,
                endpoint.address,
                endpoint.cheap ? "cheap" : "steady",
                conditionText(seen),
                seen.length === 0 ? unknownFigure : String(running),
            ];
        })
    );
    return textTable(["pool", "endpoint", "failure domain", "address", "supply", "state", "running"], rows);
}

/** What the entries think of an endpoint, where they differ with the number of entries for each view. */
function conditionText(seen: EntryState["pools"][number]["endpoints"]): string {
    const views = seen.map(({ condition, fault }) => fault === undefined ? condition : `${condition} (${fault})`);
    const distinct = [...new Set(views)];
    if (distinct.length <= 1) {
        return distinct[0] ?? unknownFigure;
    }
    return distinct.map(view => `${views.filter(other => other === view).length}x ${view}`).join(", ");
}

function endpointReport(
    state: EntryState | undefined,
    pool: string,
    endpoint: string,
): EntryState["pools"][number]["endpoints"] {
    const reports = state?.pools.find(report => report.pool === pool)?.endpoints ?? [];
    return reports.filter(report => report.name === endpoint);
}

function classLines(states: readonly FetchedState[]): readonly string[] {
    const rows = states.flatMap(({ entry, state }) => {
        if (state === undefined) {
            return [[entry, "its metrics address could not be reached"]];
        }
        return state.classes.map(figures => [
            entry,
            figures.requestClass,
            String(figures.ends["answered"] ?? 0),
            String(figures.withinTarget),
            String(figures.ends["refused"] ?? 0),
            String(figures.ends["failed"] ?? 0),
            timeText(figures.times["queueWait"]),
            timeText(figures.times["firstToken"]),
            timeText(figures.times["total"]),
        ]);
    });
    const headings = ["entry", "class", "answered", "in target", "refused", "failed"];
    return textTable([...headings, "queue wait", "first token", "total (p50/p95/p99 ms)"], rows);
}

function timeText(summary: EntryState["classes"][number]["times"][string] | undefined): string {
    if (summary === undefined || summary.count === 0) {
        return "-";
    }
    return [summary.p50, summary.p95, summary.p99].map(time => time.toFixed(1)).join("/");
}
