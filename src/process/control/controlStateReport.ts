import type { Milliseconds } from "../../util/clock.js";
import type { ReplicatedLog } from "../replicatedLog/replicatedLog.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../state/controlState.js";
import type { EntryTable } from "./entryTable.js";
import type { InForceMonitor } from "./inForceMonitor.js";

/** Sources of a {@link ControlStateReport}. */
export interface ControlReportSources {
    /** Name of the control process. */
    readonly control: string;
    readonly log: ReplicatedLog<ControlCommand, ControlOutcome>;
    readonly state: ControlState;
    readonly entries: EntryTable;
    readonly inForceMonitor: InForceMonitor;
}

/** Response to `GET /v1/state` of a control process; only the leader counts entries, other members report 0. */
export interface ControlStateReport {
    /** Name of the control process. */
    readonly control: string;
    readonly role: string;
    readonly term: number;
    readonly holdsLease: boolean;
    readonly halted: boolean;
    readonly members: number;
    readonly lastPosition: number;
    readonly commitPosition: number;
    readonly appliedPosition: number;
    /** Version of the configuration. */
    readonly version: number;
    readonly connectedEntries: number;
    readonly drainingEntries: number;
    /** Entries without a connection to the leader that may serve until their permits end. */
    readonly cutOffEntries: number;
    /** Entries that may still serve an older version. */
    readonly entriesBehind: number;
    /** Age of the oldest version that is not in force everywhere; 0 if there is none. */
    readonly inForcePending: Milliseconds;
}

/** Creates the state report of a control process. */
export function createControlStateReport(sources: ControlReportSources, now: Milliseconds): ControlStateReport {
    const { control, log, state, entries, inForceMonitor } = sources;
    const status = log.status();
    const { version } = state.configuration.current;
    const entryRecords = status.role === "leader" ? entries.all(now) : [];
    const connected = entryRecords.filter(record => record.connected);
    return {
        control,
        role: status.role,
        term: status.term,
        holdsLease: log.lease(now, 0) !== undefined,
        halted: status.halted !== undefined,
        members: status.membership.members.length,
        lastPosition: status.lastPosition,
        commitPosition: status.commitPosition,
        appliedPosition: status.appliedPosition,
        version,
        connectedEntries: connected.length,
        drainingEntries: connected.filter(record => record.status.draining).length,
        cutOffEntries: entryRecords.length - connected.length,
        entriesBehind: entryRecords.filter(record => record.version < version && record.permitEndsAt > now).length,
        inForcePending: inForceMonitor.oldestPendingAge(now),
    };
}
