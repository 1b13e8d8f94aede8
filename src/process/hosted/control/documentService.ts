import { deflateRawSync } from "node:zlib";
import { readDesiredState } from "../../../../platform/desiredState.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { withTimeout } from "../../../util/withTimeout.js";
import { findDeploymentFaults } from "../../../version/findDeploymentFaults.js";
import type { CommandLog } from "../../replicatedLog/commandLog.js";
import type { HostedCommand, HostedOutcome, HostedState } from "./hostedState.js";
import type { SharedConfirmation } from "./sharedConfirmation.js";

/** Timeout of a commit; operator clients try another process after a second without a response. */
const commitTimeout: Milliseconds = 850;

/** Result of submitting a configuration. */
export type SubmissionOutcome =
    | { readonly kind: "accepted"; readonly version: number; }
    | { readonly kind: "invalid"; readonly reason: string; }
    | { readonly kind: "otherLeader"; readonly operatorAddress: string; }
    | { readonly kind: "unavailable"; };

/** Dependencies of {@link DocumentService}. */
export interface DocumentServiceOptions {
    readonly log: CommandLog<HostedCommand, HostedOutcome>;
    readonly state: HostedState;
    readonly confirmation: SharedConfirmation;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Operator address (host and port) of this process. */
    readonly operatorAddress: string;
}

/** Stores complete configurations submitted by operators in the replicated log and returns the newest one. */
export class DocumentService {
    constructor(private readonly options: DocumentServiceOptions) {}

    /** Validates a complete configuration and commits it; a version not higher than the current one is ignored. */
    async submit(body: Uint8Array): Promise<SubmissionOutcome> {
        const { log, operatorAddress } = this.options;
        const leader = log.leaderAddress();
        if (log.leadingTerm() === undefined && leader !== undefined && leader !== operatorAddress) {
            return { kind: "otherLeader", operatorAddress: leader };
        }
        const read = readDesiredState(body);
        const faults = read.ok ? findDeploymentFaults(read.val) : [read.val];
        if (read.err || faults.length > 0) {
            const reason = faults.join("; ");
            this.options.eventLog.write("documentRefused", { version: read.ok ? read.val.version : undefined, reason });
            return { kind: "invalid", reason };
        }
        return this.store(read.val.version, body);
    }

    /** The newest configuration, DEFLATE-compressed; undefined if no quorum confirms in time which one it is. */
    async fetch(): Promise<Uint8Array | undefined> {
        const version = await this.options.confirmation.version();
        return version === undefined ? undefined : this.options.state.document?.body;
    }

    private async store(version: number, body: Uint8Array): Promise<SubmissionOutcome> {
        const { state, eventLog } = this.options;
        if (version <= state.version) {
            eventLog.write("documentOvertaken", { version, current: state.version });
            return { kind: "accepted", version: state.version };
        }
        const document = { version, body: deflateRawSync(body) };
        const committed = await this.propose({ kind: "replaceDocument", document });
        if (committed === undefined) {
            eventLog.write("documentUncommitted", { version });
            return { kind: "unavailable" };
        }
        eventLog.write("documentAccepted", { version, current: committed.version, bytes: body.length });
        return { kind: "accepted", version: committed.version };
    }

    private async propose(command: HostedCommand): Promise<HostedOutcome | undefined> {
        const { log, clock } = this.options;
        const committed = await withTimeout(clock, commitTimeout, signal => log.propose(command, signal));
        return committed.ok ? committed.val.outcome : undefined;
    }
}
