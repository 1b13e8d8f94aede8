import { randomInt } from "node:crypto";
import { ControlClaimStore } from "../../connection/entry/controlClaimStore.js";
import type { EntryListing, EntryStatus } from "../../connection/entryMessages.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import { emptySummary, subtractOwn, summaryFromRow, summaryToRow } from "../../request/admission/poolSummary.js";
import type { PoolSummary } from "../../request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../../request/admission/remoteLoad.js";
import { TieredQueue } from "../../request/admission/tieredQueue.js";
import { Deadlines } from "../../request/retry/deadlines.js";
import { RetryBudgets } from "../../request/retry/retryBudget.js";
import { AffinityChooser } from "../../request/routing/affinityChooser.js";
import { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { EntrySettings } from "../../settings/entrySettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import type { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import type { PoolSummaryRow } from "../control/poolSummaryAggregator.js";
import { ConfiguredTeamWeights } from "./configuredTeamWeights.js";
import { Discovery } from "./discovery.js";
import { EndpointClients } from "./endpointClients.js";
import { EndpointMonitors } from "./endpointMonitors.js";
import { expectedEntriesPerEndpoint, selectEndpointSubset } from "./endpointSubset.js";
import { EndpointTable } from "./endpointTable.js";
import { EntryConfiguration } from "./entryConfiguration.js";
import { createIncarnation } from "./entryIncarnation.js";
import type { EntryIncarnation } from "./entryIncarnation.js";
import { EntryMetrics } from "./entryMetrics.js";
import { PoolDispatcher } from "./poolDispatcher.js";
import { RequestLimits } from "./requestLimits.js";
import { RequestQuarantine } from "./requestQuarantine.js";
import { ServingPermit } from "./servingPermit.js";
import { UsageRecorder } from "./usageRecorder.js";

/** Number of possible seeds of the random source. */
const seedCount = 2 ** 31;

/** Interval between two searches for stragglers, in milliseconds. */
const stragglerReviewInterval: Milliseconds = 250;

/** State of an entry process, shared by its servers and background tasks. */
export class EntryProcessState implements AsyncDisposable {
    readonly configuration = new EntryConfiguration();
    readonly permit = new ServingPermit();
    readonly metrics = new EntryMetrics();
    readonly endpointClients = new EndpointClients();
    readonly claims = new ControlClaimStore();
    readonly deadlines = new Deadlines();
    readonly retryBudgets = new RetryBudgets();
    readonly quarantine = new RequestQuarantine();
    readonly discovery: Discovery;
    readonly usageRecorder: UsageRecorder;
    readonly limits = new RequestLimits(this.configuration, () => Math.max(1, this.discovery.entryCount));
    readonly endpointMonitors = new EndpointMonitors();
    /** Whether the process is about to stop; it still accepts requests. */
    draining = false;
    private readonly dispatchers = new Map<string, PoolDispatcher>();
    private readonly remoteLoads = new Map<string, SummaryRemoteLoad>();
    private readonly sentSummaries = new Map<string, PoolSummary>();
    private readonly prefixCacheIndex = new PrefixCacheIndex();
    private readonly random: RandomSource;
    private requestCount = 0;
    private currentIncarnation: EntryIncarnation;
    private stragglersReviewedAt: Milliseconds = -Infinity;

    constructor(
        readonly settings: EntrySettings,
        readonly clock: Clock,
        readonly eventLog: EventLog,
    ) {
        this.currentIncarnation = createIncarnation(clock.unixNow());
        this.usageRecorder = new UsageRecorder(this.currentIncarnation.name);
        this.random = new RandomSource(randomInt(seedCount));
        this.discovery = new Discovery(this.random, settings.discoverySeconds);
        this.configuration.onChange(configuration => {
            this.updatePools(configuration);
            this.refuseWithdrawnKeys(configuration);
            eventLog.write("configurationInForce", { version: configuration.version });
        });
    }

    /** The current incarnation; replaced when control has ended it. */
    get incarnation(): EntryIncarnation {
        return this.currentIncarnation;
    }

    /** Begins a new incarnation if the one that has ended is the current one. */
    renewIncarnation(ended: string): void {
        if (ended === this.currentIncarnation.name) {
            this.currentIncarnation = createIncarnation(this.clock.unixNow());
            this.usageRecorder.switchIncarnation(this.currentIncarnation.name);
        }
    }

    /** Returns why requests cannot be served now, or undefined if they can. */
    servingFailure(): Failure | undefined {
        if (this.permit.allows(this.configuration.current.version, this.clock.now())) {
            return undefined;
        }
        return failure("permitExpired", { entries: this.discovery.alternativeAddresses(this.settings.name) });
    }

    /** Returns a request identifier that is unique over all entries and their incarnations. */
    nextRequestId(): string {
        this.requestCount++;
        return `${this.settings.name}-${this.incarnation.name}-${this.requestCount}`;
    }

    /** Returns the dispatcher of a pool; creates it on first use. */
    dispatcherOf(pool: string): PoolDispatcher {
        const existing = this.dispatchers.get(pool);
        if (existing !== undefined) {
            return existing;
        }
        const created = this.createDispatcher(pool);
        this.dispatchers.set(pool, created);
        return created;
    }

    /** Marks an endpoint as about to stop, as announced by the platform. */
    markEndpointLeaving(endpointName: string, now: Milliseconds): void {
        this.dispatchers.forEach(({ table }) => {
            table.find(endpointName)?.markLeaving(now);
        });
    }

    /** Replaces the list of entries with the one that the leader sent. */
    updateListings(listings: readonly EntryListing[], now: Milliseconds): void {
        this.discovery.update(listings);
        this.updateSharingEntries(now);
    }

    /** Returns the summaries of the pools to send to the other entries; must be called once per message. */
    summarizePools(now: Milliseconds): readonly PoolSummaryRow[] {
        return [...this.dispatchers].map(([pool, dispatcher]) => {
            const summary = dispatcher.summarize(pool, now);
            this.sentSummaries.set(pool, summary);
            return { pool, row: summaryToRow(summary) };
        });
    }

    /** Updates the load of the other entries: the sums over all entries, minus the last summaries of this entry. */
    updateRemoteLoads(sums: readonly PoolSummaryRow[], now: Milliseconds): void {
        for (const { pool, row } of sums) {
            const sum = summaryFromRow(pool, row);
            if (sum !== undefined) {
                const own = this.sentSummaries.get(pool) ?? emptySummary(pool);
                this.remoteLoads.get(pool)?.update(subtractOwn(sum, own), now);
            }
        }
    }

    /** Returns the status that is sent to control processes. */
    status(): EntryStatus {
        const dispatchers = [...this.dispatchers.values()];
        return {
            draining: this.draining,
            runningRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.running, 0),
            waitingRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.waiting, 0),
        };
    }

    /** Performs the periodic work. */
    sweep(now: Milliseconds): void {
        this.deadlines.sweep(now);
        this.claims.sweep(now);
        this.limits.expireShares(now);
        if (now - this.stragglersReviewedAt >= stragglerReviewInterval) {
            this.stragglersReviewedAt = now;
            this.dispatchers.forEach(({ table }) => {
                table.setAsideStragglers(now);
            });
        }
        this.dispatchers.forEach(dispatcher => {
            dispatcher.sweep(now);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.endpointMonitors[Symbol.asyncDispose]();
        this.endpointClients[Symbol.dispose]();
    }

    private createDispatcher(pool: string): PoolDispatcher {
        const { eventLog } = this;
        const table = new EndpointTable(pool, this.random, {
            setAside: (endpoint, fault) => {
                eventLog.write("endpointSetAside", { pool, endpoint: endpoint.name, fault });
            },
            returned: endpoint => {
                eventLog.write("endpointReturned", { pool, endpoint: endpoint.name });
            },
        });
        const remoteLoad = new SummaryRemoteLoad();
        this.remoteLoads.set(pool, remoteLoad);
        return new PoolDispatcher({
            queue: new TieredQueue({ weights: new ConfiguredTeamWeights(this.configuration), remoteLoad }),
            chooser: new AffinityChooser(this.random, this.prefixCacheIndex),
            table,
            clock: this.clock,
            canServe: now => this.permit.allows(this.configuration.current.version, now),
            onPreemption: ({ id, requestClass }, forTier) => {
                eventLog.write("requestPreempted", { requestId: id, pool, tier: requestClass.tier, forTier });
            },
        });
    }

    private updatePools(configuration: CompiledConfiguration): void {
        const now = this.clock.now();
        for (const pool of configuration.allPools) {
            const dispatcher = this.dispatcherOf(pool.name);
            const { table } = dispatcher;
            table.setEndpoints(
                selectEndpointSubset(pool.endpoints, this.settings.name),
                pool.concurrentRequestsPerEndpoint,
            );
            this.endpointMonitors.setEndpoints(pool.name, table.all, {
                table,
                prefixCacheIndex: this.prefixCacheIndex,
                clock: this.clock,
                random: this.random,
                polledEndpointCount: () => this.endpointMonitors.size,
                publishesCacheEvents: pool.kind === "model",
                onPolled: polledAt => {
                    dispatcher.dispatchWaiting(polledAt);
                },
            });
            dispatcher.dispatchWaiting(now);
        }
        const endpointsInUse = [...this.dispatchers.values()].flatMap(({ table }) => table.all);
        this.endpointClients.retainAddresses(new Set(endpointsInUse.map(endpoint => endpoint.description.address)));
        this.prefixCacheIndex.retainEndpoints(new Set(endpointsInUse));
        this.updateSharingEntries(now);
    }

    private updateSharingEntries(now: Milliseconds): void {
        const entries = this.discovery.servingEntryCount;
        for (const pool of this.configuration.current.allPools) {
            this.dispatcherOf(pool.name).table.setSharingEntries(
                expectedEntriesPerEndpoint(entries, pool.endpoints.length),
                now,
            );
        }
    }

    private refuseWithdrawnKeys(configuration: CompiledConfiguration): void {
        this.dispatchers.forEach(dispatcher => {
            dispatcher.refuseWithdrawnKeys(digest => configuration.identify(digest) !== undefined);
        });
    }
}
