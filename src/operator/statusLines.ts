import type { FetchedEntryState } from "./entryStateClient.js";
import type { EntryState, StatusResponse } from "./responseSchemas.js";
import { formatTable } from "./textTable.js";

/** Printed in place of a value that is not known. */
const unknownValue = "?";

/** Formats the state of the cluster as text. */
export function statusLines(status: StatusResponse, states: readonly FetchedEntryState[]): readonly string[] {
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

function controlLines(status: StatusResponse): readonly string[] {
    const { control, fencingNumber, log, version, manifest } = status;
    const manifestText = manifest === undefined
        ? "no manifest"
        : `manifest ${manifest.number ?? unknownValue} by ${manifest.operator} at ${
            formatIsoTime(manifest.receivedAt)
        }`;
    return [
        `leader   ${control}, holds the lease of term ${fencingNumber}`,
        `log      last ${log.lastPosition}, committed ${log.commitPosition}, applied ${log.appliedPosition}`,
        `version  ${version}, ${manifestText}`,
    ];
}

/** Formats the members of the replicated log as a table. */
export function memberLines(members: StatusResponse["members"]): readonly string[] {
    const rows = members.map(member => [
        member.memberId,
        member.leads ? "leader" : member.role,
        member.address,
        member.operatorAddress,
    ]);
    return formatTable(["member", "role", "peer address", "operator address"], rows);
}

/** Formats a Unix time in milliseconds according to ISO 8601, in UTC. */
export function formatIsoTime(unixMilliseconds: number): string {
    return new Date(unixMilliseconds).toISOString();
}

function entryLines({ version, entries, entriesComplete }: StatusResponse): readonly string[] {
    const rows = entries.map(entry => [
        entry.entry,
        entry.failureDomain,
        entry.callerAddress,
        `${entry.version}${entry.version < version ? " (behind)" : ""}`,
        entry.draining
            ? "draining"
            : entry.connected
            ? "serves"
            : `disconnected, permit expires in ${entry.permitLeft} ms`,
        String(entry.runningRequests),
        String(entry.waitingRequests),
    ]);
    const table = formatTable(
        ["entry", "failure domain", "caller address", "version", "state", "running", "waiting"],
        rows,
    );
    return entriesComplete
        ? table
        : [...table, "The leader changed recently; entries may be missing for a few seconds."];
}

function endpointLines({ pools }: StatusResponse, states: readonly FetchedEntryState[]): readonly string[] {
    const rows = pools.flatMap(pool =>
        pool.endpoints.map(endpoint => {
            const reports = states.flatMap(({ state }) => endpointReports(state, pool.name, endpoint.name));
            const running = reports.reduce((sum, report) => sum + report.running, 0);
            return [
                pool.name,
                endpoint.name,
                endpoint.failureDomain,
                endpoint.address,
                endpoint.cheap ? "cheap" : "steady",
                summarizeConditions(reports),
                reports.length === 0 ? unknownValue : String(running),
            ];
        })
    );
    return formatTable(["pool", "endpoint", "failure domain", "address", "supply", "state", "running"], rows);
}

/** The condition that the entries report for an endpoint; if they differ, each condition with the number of entries. */
function summarizeConditions(reports: EntryState["pools"][number]["endpoints"]): string {
    const conditions = reports.map(({ condition, fault }) =>
        fault === undefined ? condition : `${condition} (${fault})`
    );
    const distinct = [...new Set(conditions)];
    if (distinct.length <= 1) {
        return distinct[0] ?? unknownValue;
    }
    return distinct.map(text => `${conditions.filter(other => other === text).length}x ${text}`).join(", ");
}

function endpointReports(
    state: EntryState | undefined,
    pool: string,
    endpoint: string,
): EntryState["pools"][number]["endpoints"] {
    const reports = state?.pools.find(report => report.pool === pool)?.endpoints ?? [];
    return reports.filter(report => report.name === endpoint);
}

function classLines(states: readonly FetchedEntryState[]): readonly string[] {
    const rows = states.flatMap(({ entry, state }) => {
        if (state === undefined) {
            return [[entry, "its metrics address could not be reached"]];
        }
        return state.classes.map(classState => [
            entry,
            classState.requestClass,
            String(classState.ends["answered"] ?? 0),
            String(classState.withinTarget),
            String(classState.ends["refused"] ?? 0),
            String(classState.ends["failed"] ?? 0),
            formatPercentiles(classState.times["queueWait"]),
            formatPercentiles(classState.times["firstToken"]),
            formatPercentiles(classState.times["total"]),
        ]);
    });
    const headings = ["entry", "class", "answered", "within target", "refused", "failed"];
    return formatTable([...headings, "queue wait", "first token", "total (p50/p95/p99 ms)"], rows);
}

function formatPercentiles(summary: EntryState["classes"][number]["times"][string] | undefined): string {
    if (summary === undefined || summary.count === 0) {
        return "-";
    }
    return [summary.p50, summary.p95, summary.p99].map(time => time.toFixed(1)).join("/");
}
