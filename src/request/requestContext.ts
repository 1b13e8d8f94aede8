import type { IncomingMessage, ServerResponse } from "node:http";
import type { EventLog } from "../logEvent/eventLog.js";
import type { EndpointClients } from "../process/entry/endpointClients.js";
import type { EntryConfiguration } from "../process/entry/entryConfiguration.js";
import type { EntryMetrics } from "../process/entry/entryMetrics.js";
import type { PoolDispatcher } from "../process/entry/poolDispatcher.js";
import type { RequestQuarantine } from "../process/entry/requestQuarantine.js";
import type { UsageRecorder } from "../process/entry/usageRecorder.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Clock } from "../util/clock.js";
import type { Identity, ResolvedRoute } from "../version/compiledConfiguration.js";
import type { ClaimStore } from "./claims/claimStore.js";
import type { Deadlines } from "./retry/deadlines.js";
import type { RetryBudgets } from "./retry/retryBudget.js";

/** Data and services available while one request is handled. */
export interface RequestContext {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    /** Undefined if the request has no key, which a public route allows. */
    readonly identity: Identity | undefined;
    readonly resolvedRoute: ResolvedRoute;
    readonly dispatcher: PoolDispatcher;
    readonly endpointClients: EndpointClients;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly metrics: EntryMetrics;
    readonly usageRecorder: UsageRecorder;
    readonly configuration: EntryConfiguration;
    readonly claimStore: ClaimStore;
    readonly deadlines: Deadlines;
    readonly retryBudgets: RetryBudgets;
    readonly quarantine: RequestQuarantine;
    /** Digest of the key sent with the request, if any. */
    readonly keyDigest: string | undefined;
    /** Whether the key sent with the request is still valid; true if it has none. */
    readonly isKeyValid: () => boolean;
    /** Why the entry must not send requests to endpoints now; undefined if it may. */
    readonly servingFailure: () => Failure | undefined;
    /** Aborts when the caller closes its connection. */
    readonly callerAbortSignal: AbortSignal;
}
