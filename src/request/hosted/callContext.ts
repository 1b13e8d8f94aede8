import type { EventLog } from "../../logEvent/eventLog.js";
import type { CallCounts } from "../../process/hosted/entry/callCounts.js";
import type { DeploymentView } from "../../process/hosted/entry/deploymentView.js";
import type { EndpointFleet } from "../../process/hosted/entry/endpointFleet.js";
import type { EntryCounters } from "../../process/hosted/entry/entryCounters.js";
import type { RetryAllowance } from "../../process/hosted/entry/hostedRetryBudget.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { SuspensionWatch } from "../../util/suspensionWatch.js";
import type { DeployedRoute, DeployedService, DeployedTeam } from "../../version/deployment.js";
import type { EndpointChooser } from "./endpointChooser.js";
import type { PatienceRecord } from "./retryDetector.js";

/** What the calls of an entry share. */
export interface CallParts {
    readonly view: DeploymentView;
    readonly fleet: EndpointFleet;
    readonly chooser: EndpointChooser;
    readonly allowance: RetryAllowance;
    readonly patience: PatienceRecord;
    readonly counts: CallCounts;
    readonly counters: EntryCounters;
    readonly clock: Clock;
    readonly suspension: SuspensionWatch;
    readonly medianClock: MedianClock;
    readonly random: RandomSource;
    readonly eventLog: EventLog;
    /** Number of entries that serve at present. */
    readonly entryCount: () => number;
}

/** A call whose route and team are known. */
export interface AdmittedCall {
    readonly route: DeployedRoute;
    readonly service: DeployedService;
    readonly team: DeployedTeam | undefined;
    /** Undefined where the caller sent none. */
    readonly body: Buffer | undefined;
    /** The shortest pause that any stream at the service may have. */
    readonly shortestPause: Milliseconds | undefined;
    /** 0 to 9; 0 goes first at the endpoints. */
    readonly urgency: number;
    /** Version of the configuration that allowed the call. */
    readonly version: number;
}

/** Why a call is refused without having run. */
export interface Refusal {
    readonly reason: Failure;
    /** What is known of the call. */
    readonly call?: AdmittedCall;
    /** When the caller may come back; undefined where waiting does not help. */
    readonly retryAfter?: Milliseconds;
}
