import type { EventLog } from "../../logEvent/eventLog.js";
import type { CallDurations } from "../../process/hosted/entry/callDurations.js";
import type { CallQuarantine } from "../../process/hosted/entry/callQuarantine.js";
import type { CrashObserver } from "../../process/hosted/entry/crashObserver.js";
import type { DeploymentView } from "../../process/hosted/entry/deploymentView.js";
import type { EndpointFleet } from "../../process/hosted/entry/endpointFleet.js";
import type { EndpointRateLimits } from "../../process/hosted/entry/endpointRateLimits.js";
import type { EndpointReachability } from "../../process/hosted/entry/endpointReachability.js";
import type { EntryCounters } from "../../process/hosted/entry/entryCounters.js";
import type { EntryShutdown } from "../../process/hosted/entry/entryShutdown.js";
import type { GrantSource } from "../../process/hosted/entry/grantSource.js";
import type { HostedRetryBudget } from "../../process/hosted/entry/hostedRetryBudget.js";
import type { RelayDirectory } from "../../process/hosted/entry/relayDirectory.js";
import type { StreamOrigins } from "../../process/hosted/entry/streamOrigins.js";
import type { UsageCounts } from "../../process/hosted/entry/usageCounts.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { SuspensionDetector } from "../../util/suspensionDetector.js";
import type { DeployedRoute, DeployedService, DeployedTeam } from "../../version/deployment.js";
import type { DeploymentIndex } from "../../version/deploymentIndex.js";
import type { EndpointChooser } from "./endpointChooser.js";
import type { RetryDetector } from "./retryDetector.js";

/** Dependencies and state that all calls of an entry share. */
export interface CallContext {
    readonly view: DeploymentView;
    readonly fleet: EndpointFleet;
    readonly chooser: EndpointChooser;
    readonly retryBudget: HostedRetryBudget;
    readonly retryDetector: RetryDetector;
    readonly usageCounts: UsageCounts;
    readonly counters: EntryCounters;
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly medianClock: MedianClock;
    readonly random: RandomSource;
    readonly eventLog: EventLog;
    /** Number of entries that are currently serving. */
    readonly entryCount: () => number;
    readonly rateLimits: EndpointRateLimits;
    /** Asks the leader for calls to endpoints whose rate is limited, and for calls that are held back. */
    readonly grantSource: GrantSource;
    readonly crashObserver: CrashObserver;
    readonly quarantine: CallQuarantine;
    readonly streamOrigins: StreamOrigins;
    readonly durations: CallDurations;
    readonly shutdown: EntryShutdown;
    readonly reachability: EndpointReachability;
    readonly relays: RelayDirectory;
}

/** Finds the team of a call: by its key, or as another entry has found it. */
export type TeamResolver = (index: DeploymentIndex) => DeployedTeam | undefined;

/** A call whose route, service and team have been resolved. */
export interface AdmittedCall {
    readonly route: DeployedRoute;
    readonly service: DeployedService;
    readonly team: DeployedTeam | undefined;
    /** Undefined if the request has no body. */
    readonly body: Buffer | undefined;
    /** What the call has in common with others; empty until its body was read. */
    readonly features: readonly string[];
    /** Smallest target for the gap between events among all routes of the service; undefined if none has a target. */
    readonly minimumEventGapTarget: Milliseconds | undefined;
    /** Priority at the endpoints, from 0 (highest) to 9. */
    readonly urgency: number;
    /** Version of the configuration under which the call was admitted. */
    readonly version: number;
}

/** Reason and context of a call that is refused before it has run at any endpoint. */
export interface Refusal {
    readonly reason: Failure;
    /** The call, if its route was resolved. */
    readonly call?: AdmittedCall;
    /** Time after which the caller may retry; undefined if waiting does not help. */
    readonly retryAfter?: Milliseconds;
    /** Feature because of which the call is held back. */
    readonly feature?: string;
}
