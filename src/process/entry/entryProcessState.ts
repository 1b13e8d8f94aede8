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
import type { PoolRow } from "../control/poolPressure.js";
import { ConfiguredTeamWeights } from "./configuredTeamWeights.js";
import { Discovery } from "./discovery.js";
import { EndpointClients } from "./endpointClients.js";
import { EndpointMonitors } from "./endpointMonitors.js";
import { endpointSubset, expectedSharers } from "./endpointSubset.js";
import { EndpointTable } from "./endpointTable.js";
import { EntryConfiguration } from "./entryConfiguration.js";
import { createIncarnation } from "./entryIncarnation.js";
import type { EntryIncarnation } from "./entryIncarnation.js";
import { EntryMetrics } from "./entryMetrics.js";
import { PoolDispatcher } from "./poolDispatcher.js";
import { RequestLimits } from "./requestLimits.js";
import { ServingPermit } from "./servingPermit.js";
import { UsageRecorder } from "./usageRecorder.js";

/** Number of seeds of the random choices of a process. */
const seeds = 2 ** 31;

/** How often endpoints are compared with each other, in milliseconds. */
const reviewInterval: Milliseconds = 250;

/** Everything that an entry process holds beside its tasks. */
export class EntryProcessState implements AsyncDisposable {
    readonly configuration = new EntryConfiguration();
    readonly permit = new ServingPermit();
    readonly metrics = new EntryMetrics();
    readonly clients = new EndpointClients();
    readonly claims = new ControlClaimStore();
    readonly deadlines = new Deadlines();
    readonly retryBudgets = new RetryBudgets();
    readonly discovery: Discovery;
    readonly usage: UsageRecorder;
    readonly limits = new RequestLimits(this.configuration, () => Math.max(1, this.discovery.count));
    readonly monitors = new EndpointMonitors();
    /** Whether the process is about to stop; it still serves those who come. */
    draining = false;
    private readonly dispatchers = new Map<string, PoolDispatcher>();
    private readonly pressures = new Map<string, SummaryRemoteLoad>();
    private readonly sentSummaries = new Map<string, PoolSummary>();
    private readonly hints = new PrefixCacheIndex();
    private readonly random: RandomSource;
    private requestCount = 0;
    private currentIncarnation: EntryIncarnation;
    private reviewedAt: Milliseconds = -Infinity;

    constructor(
        readonly settings: EntrySettings,
        readonly clock: Clock,
        readonly eventLog: EventLog,
    ) {
        this.currentIncarnation = createIncarnation(clock.unixNow());
        this.usage = new UsageRecorder(this.currentIncarnation.name);
        this.random = new RandomSource(randomInt(seeds));
        this.discovery = new Discovery(this.random, settings.discoverySeconds);
        this.configuration.onChange(configuration => {
            this.updatePools(configuration);
            this.withdrawKeys(configuration);
            eventLog.write("configurationInForce", { version: configuration.version });
        });
    }

    /** Differs at each start, and after control has declared the last one over. */
    get incarnation(): EntryIncarnation {
        return this.currentIncarnation;
    }

    /** Begins a new incarnation if the given one is the present one. */
    renewIncarnation(ended: string): void {
        if (ended === this.currentIncarnation.name) {
            this.currentIncarnation = createIncarnation(this.clock.unixNow());
            this.usage.enterIncarnation(this.currentIncarnation.name);
        }
    }

    /** Why no request may be served now; undefined when they may. */
    unreadiness(): Failure | undefined {
        if (this.permit.holds(this.configuration.current.version, this.clock.now())) {
            return undefined;
        }
        return failure("permitExpired", { entries: this.discovery.alternatives(this.settings.name) });
    }

    /** A request identifier that no other entry and no other start of this one uses. */
    nextRequestId(): string {
        this.requestCount++;
        return `${this.settings.name}-${this.incarnation.name}-${this.requestCount}`;
    }

    /** The dispatcher of a pool of the configuration in force. */
    dispatcherOf(pool: string): PoolDispatcher {
        const known = this.dispatchers.get(pool);
        if (known !== undefined) {
            return known;
        }
        const created = this.createDispatcher(pool);
        this.dispatchers.set(pool, created);
        return created;
    }

    /** Records that an endpoint leaves, as told by the platform. */
    noteLeaving(endpointName: string, now: Milliseconds): void {
        this.dispatchers.forEach(({ table }) => {
            table.find(endpointName)?.noteLeaving(now);
        });
    }

    /** Takes over the list of entries that the leader sent. */
    updateListing(listings: readonly EntryListing[], now: Milliseconds): void {
        this.discovery.update(listings);
        this.shareEndpoints(now);
    }

    /** Summaries of the pools for the other entries; called once for each message. */
    takePoolRows(now: Milliseconds): readonly PoolRow[] {
        return [...this.dispatchers].map(([pool, dispatcher]) => {
            const summary = dispatcher.summarize(pool, now);
            this.sentSummaries.set(pool, summary);
            return { pool, row: summaryToRow(summary) };
        });
    }

    /** Takes over the sums of all entries' summaries, less this entry's own. */
    updatePressure(sums: readonly PoolRow[], now: Milliseconds): void {
        for (const { pool, row } of sums) {
            const sum = summaryFromRow(pool, row);
            if (sum !== undefined) {
                const own = this.sentSummaries.get(pool) ?? emptySummary(pool);
                this.pressures.get(pool)?.update(subtractOwn(sum, own), now);
            }
        }
    }

    /** What is told to control processes. */
    status(): EntryStatus {
        const dispatchers = [...this.dispatchers.values()];
        return {
            draining: this.draining,
            runningRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.running, 0),
            waitingRequests: dispatchers.reduce((sum, dispatcher) => sum + dispatcher.waiting, 0),
        };
    }

    /** Does what is due at regular intervals. */
    sweep(now: Milliseconds): void {
        this.deadlines.sweep(now);
        this.claims.sweep(now);
        this.limits.sweep(now);
        if (now - this.reviewedAt >= reviewInterval) {
            this.reviewedAt = now;
            this.dispatchers.forEach(({ table }) => {
                table.review(now);
            });
        }
        this.dispatchers.forEach(dispatcher => {
            dispatcher.sweep(now);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.monitors[Symbol.asyncDispose]();
        this.clients[Symbol.dispose]();
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
        const neighbours = new SummaryRemoteLoad();
        this.pressures.set(pool, neighbours);
        return new PoolDispatcher({
            queue: new TieredQueue({ weights: new ConfiguredTeamWeights(this.configuration), remoteLoad: neighbours }),
            chooser: new AffinityChooser(this.random, this.hints),
            table,
            clock: this.clock,
            mayServe: now => this.permit.holds(this.configuration.current.version, now),
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
                endpointSubset(pool.endpoints, this.settings.name),
                pool.concurrentRequestsPerEndpoint,
            );
            this.monitors.follow(pool.name, table.all, {
                table,
                hints: this.hints,
                clock: this.clock,
                random: this.random,
                asked: () => this.monitors.size,
                engines: pool.kind === "model",
                onHeard: heardAt => {
                    dispatcher.pump(heardAt);
                },
            });
            dispatcher.pump(now);
        }
        const inUse = [...this.dispatchers.values()].flatMap(({ table }) => table.all);
        this.clients.retain(new Set(inUse.map(endpoint => endpoint.description.address)));
        this.hints.retainEndpoints(new Set(inUse));
        this.shareEndpoints(now);
    }

    private shareEndpoints(now: Milliseconds): void {
        const entries = this.discovery.servingEntries;
        for (const pool of this.configuration.current.allPools) {
            this.dispatcherOf(pool.name).table.shareAmong(expectedSharers(entries, pool.endpoints.length), now);
        }
    }

    private withdrawKeys(configuration: CompiledConfiguration): void {
        this.dispatchers.forEach(dispatcher => {
            dispatcher.withdrawKeys(digest => configuration.identify(digest) !== undefined);
        });
    }
}
