import type { IncomingMessage, ServerResponse } from "node:http";
import type { EventLog } from "../logEvent/eventLog.js";
import type { EndpointClients } from "../process/entry/endpointClients.js";
import type { EntryConfiguration } from "../process/entry/entryConfiguration.js";
import type { EntryMetrics } from "../process/entry/entryMetrics.js";
import type { PoolDispatcher } from "../process/entry/poolDispatcher.js";
import type { UsageRecorder } from "../process/entry/usageRecorder.js";
import type { Clock } from "../util/clock.js";
import type { Identity, ResolvedRoute } from "../version/compiledConfiguration.js";
import type { ClaimStore } from "./claims/claimStore.js";
import type { Deadlines } from "./retry/deadlines.js";
import type { RetryBudgets } from "./retry/retryBudget.js";

/** What the task of one request works with. */
export interface RequestContext {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    /** Undefined on a route that is open to all, when no key came with the request. */
    readonly identity: Identity | undefined;
    readonly resolvedRoute: ResolvedRoute;
    readonly dispatcher: PoolDispatcher;
    readonly clients: EndpointClients;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly metrics: EntryMetrics;
    readonly usage: UsageRecorder;
    readonly configuration: EntryConfiguration;
    readonly claimStore: ClaimStore;
    readonly deadlines: Deadlines;
    readonly retryBudgets: RetryBudgets;
    /** Digest of the key that came with the request. */
    readonly keyDigest: string | undefined;
    /** Whether the key that came with the request is still good. */
    readonly isKeyValid: () => boolean;
    /** Aborts when the caller has closed its connection. */
    readonly callerAbortSignal: AbortSignal;
}
