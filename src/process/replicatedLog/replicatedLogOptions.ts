import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { StateMachine } from "./commandLog.js";
import type { LogStorage } from "./logStorage.js";
import type { LogTiming } from "./logTiming.js";
import type { MemberIdentity } from "./memberIdentity.js";
import type { Membership } from "./membership.js";
import type { ReplicaRole } from "./replica.js";

/** What a replicated log is made of. */
export interface ReplicatedLogOptions<Command, Outcome> {
    /** Name of the log group; several groups may share storage, identity and network. */
    readonly group: string;
    readonly storage: LogStorage;
    readonly identity: MemberIdentity;
    readonly network: PeerNetwork;
    readonly stateMachine: StateMachine<Command, Outcome>;
    /** This member's address for peers, as `host:port`. */
    readonly address: string;
    /** This member's address for operators and entries. */
    readonly operatorAddress: string;
    /** Addresses for peers of all control processes that the settings name, this one's included. */
    readonly expectedAddresses: readonly string[];
    /** Whether members that the settings do not name are admitted, and lost ones retired in their favour; not by default. */
    readonly admitsUnlisted?: boolean;
    /** Whether this member may form the group; by default it may. */
    readonly mayFormGroup?: boolean;
    readonly timing: LogTiming;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    /** Entries between two snapshots. */
    readonly snapshotInterval: number;
    /** Entries that stay behind a snapshot for members that lag a little. */
    readonly retainedEntries: number;
}

/** How one member stands, for operators and tests. */
export interface ReplicaStatus {
    readonly memberId: string;
    readonly role: ReplicaRole;
    readonly term: number;
    readonly leaderId: string | undefined;
    readonly lastPosition: number;
    readonly commitPosition: number;
    readonly appliedPosition: number;
    readonly membership: Membership;
    /** Why the member takes part no more; undefined while it does. */
    readonly halted: Failure | undefined;
}
