import type { Milliseconds } from "../../util/clock.js";
import type { ReplicatedLog } from "../replicatedLog/replicatedLog.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../state/controlState.js";
import type { EntryTable } from "./entryTable.js";
import type { InForceWatch } from "./inForceWatch.js";

/** What the report is made from. */
export interface ControlReportSources {
    readonly control: string;
    readonly log: ReplicatedLog<ControlCommand, ControlOutcome>;
    readonly state: ControlState;
    readonly entries: EntryTable;
    readonly inForce: InForceWatch;
}

/** What a control process shows of itself at `GET /v1/state`; entries are known to the leader alone. */
export interface ControlStateReport {
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
    /** Entries that may serve without a connection to the leader until their permits end. */
    readonly cutOffEntries: number;
    /** Entries that may still serve with an older version. */
    readonly entriesBehind: number;
    /** Age of the oldest version that is not in force everywhere. */
    readonly inForcePending: Milliseconds;
}

/** The present state of a control process, for operators. */
export function controlStateReport(sources: ControlReportSources, now: Milliseconds): ControlStateReport {
    const { control, log, state, entries, inForce } = sources;
    const status = log.status();
    const { version } = state.configuration.current;
    const known = status.role === "leader" ? entries.all(now) : [];
    const connected = known.filter(record => record.connected);
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
        cutOffEntries: known.length - connected.length,
        entriesBehind: known.filter(record => record.version < version && record.permitEndsAt > now).length,
        inForcePending: inForce.oldestPending(now),
    };
}
