import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { StateMachine } from "./commandLog.js";
import type { LogStorage } from "./logStorage.js";
import type { LogTiming } from "./logTiming.js";
import type { ToleratedLosses } from "./memberAdmission.js";
import type { MemberIdentity } from "./memberIdentity.js";
import type { Membership } from "./membership.js";
import type { ReplicaRole } from "./replica.js";

/** Dependencies and settings of a replicated log. */
export interface ReplicatedLogOptions<Command, Outcome> {
    /** Name of the log group; several groups may share storage, identity and network. */
    readonly group: string;
    readonly storage: LogStorage;
    readonly identity: MemberIdentity;
    readonly network: PeerNetwork;
    readonly stateMachine: StateMachine<Command, Outcome>;
    /** Address at which peers reach this member, as `host:port`. */
    readonly address: string;
    /** Address at which operators and entries reach this member. */
    readonly operatorAddress: string;
    /** Peer addresses of all control processes that the settings name, including this one. */
    readonly expectedAddresses: readonly string[];
    /** Whether members that the settings do not name may join and replace lost ones; false by default. */
    readonly admitsUnlisted?: boolean;
    /** Losses that the group must bear; if undefined, voters are removed only in favour of new members. */
    readonly toleratedLosses?: ToleratedLosses | undefined;
    /** Whether this member may form a new group; true by default. */
    readonly mayFormGroup?: boolean;
    readonly timing: LogTiming;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    /** Number of entries between two snapshots. */
    readonly snapshotInterval: number;
    /** Minimum number of entries before a snapshot that are kept, so that slightly lagging members need no snapshot. */
    readonly retainedEntries: number;
}

/** Status of one member, for operators and tests. */
export interface ReplicaStatus {
    readonly memberId: string;
    readonly role: ReplicaRole;
    readonly term: number;
    readonly leaderId: string | undefined;
    readonly lastPosition: number;
    readonly commitPosition: number;
    readonly appliedPosition: number;
    readonly membership: Membership;
    /** The failure that halted the member; undefined while it takes part in the group. */
    readonly halted: Failure | undefined;
}
