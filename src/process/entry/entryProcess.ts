import { CallerServer, defaultCallerServerLimits } from "../../connection/entry/callerServer.js";
import { MetricsServer } from "../../connection/metrics/metricsServer.js";
import { HttpListeners } from "../../connection/server/httpListeners.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EntrySettings } from "../../settings/entrySettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { EventLoopDelayMonitor } from "../metrics/eventLoopDelayMonitor.js";
import { formatEntryExposition } from "./entryExposition.js";
import { EntryProcessState } from "./entryProcessState.js";
import { createEntryStateReport } from "./entryStateReport.js";
import { maintainControlConnection } from "./maintainControlConnection.js";

/** Interval of periodic work such as refusing waiting requests whose time has run out, in milliseconds. */
const sweepInterval: Milliseconds = 50;

/** Maximum time until the other entries no longer list a draining one, in milliseconds. */
const listingPropagationDelay: Milliseconds = 1_000;

/** How long a stopping entry waits for the confirmation of its usage records, in milliseconds. */
const usageDeliveryTimeout: Milliseconds = 10_000;

/** Addresses that an entry listens on. */
export interface EntryAddresses {
    readonly callerAddress: string;
    readonly metricsAddress: string;
}

/** An entry process: accepts requests from callers and forwards them to endpoints. */
export class EntryProcess implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private readonly stopController = new AbortController();
    private readonly state: EntryProcessState;
    private readonly listeners: HttpListeners;
    private callerServer: CallerServer | undefined;
    private requestStop: (reason: string) => void = () => undefined;
    /** Resolves with the reason when an operator has requested that the entry drain and stop. */
    readonly stopRequested = new Promise<string>(resolve => {
        this.requestStop = resolve;
    });

    constructor(private readonly settings: EntrySettings, private readonly clock: Clock, eventLog: EventLog) {
        this.state = this.store.add(new EntryProcessState(settings, clock, eventLog));
        this.listeners = new HttpListeners(settings.connectionLimits, clock, eventLog);
    }

    /** Starts the servers and the connection to control; resolves with the bound addresses. */
    async start(): Promise<EntryAddresses> {
        const metricsAddress = await this.startMetricsServer();
        const callerServer = new CallerServer(this.state, defaultCallerServerLimits, this.listeners);
        const callerAddress = await callerServer.start();
        const tasks = [this.runControlConnection({ callerAddress, metricsAddress }), this.sweepPeriodically()];
        this.store.defer(async () => {
            this.stopController.abort();
            await Promise.all(tasks);
        });
        this.store.defer(() => this.awaitUsageConfirmation());
        this.callerServer = this.store.add(callerServer);
        return { callerAddress, metricsAddress };
    }

    /** Leaves discovery, keeps serving until callers no longer cache its address, then stops gracefully. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.state.draining = true;
        this.callerServer?.startDraining();
        await this.clock.sleep(this.settings.discoverySeconds * 1000 + listingPropagationDelay);
        await this.store.dispose();
    }

    /** Waits until control has confirmed all usage records; called after the last request has ended. */
    private async awaitUsageConfirmation(): Promise<void> {
        const end = this.clock.now() + usageDeliveryTimeout;
        while (!this.state.usageRecorder.isEverythingConfirmed && this.clock.now() < end) {
            await this.clock.sleep(sweepInterval);
        }
        if (!this.state.usageRecorder.isEverythingConfirmed) {
            this.state.eventLog.write("usageUndelivered", {});
        }
    }

    private runControlConnection(addresses: EntryAddresses): Promise<void> {
        const { cluster, name, failureDomain, controlAddresses } = this.settings;
        const { state, clock } = this;
        return maintainControlConnection(
            controlAddresses,
            {
                identity: () => ({
                    cluster,
                    entry: name,
                    incarnation: state.incarnation.name,
                    startedAt: state.incarnation.startedAt,
                    failureDomain,
                    ...addresses,
                }),
                renewIncarnation: ended => {
                    state.renewIncarnation(ended);
                },
                usage: state.usageRecorder,
                clock,
                eventLog: state.eventLog,
                configuration: state.configuration,
                permit: state.permit,
                status: () => state.status(),
                summarizePools: now => state.summarizePools(now),
                collectDemands: now => state.limits.takeDemands(now),
                onPoolSums: (sums, now) => {
                    state.updateRemoteLoads(sums, now);
                },
                onLimitShares: (shares, now) => {
                    state.limits.setShares(shares, now);
                },
                onDrain: () => {
                    this.requestStop("an operator drains this entry");
                },
                claims: state.claims,
                quarantine: state.quarantine,
                onListing: listings => {
                    state.updateListings(listings, clock.now());
                },
            },
            this.stopController.signal,
        );
    }

    private async sweepPeriodically(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            this.state.sweep(this.clock.now());
            await this.clock.sleep(sweepInterval, this.stopController.signal);
        }
    }

    private startMetricsServer(): Promise<string> {
        const { state, clock } = this;
        const eventLoopDelay = this.store.add(new EventLoopDelayMonitor(clock));
        const server = new MetricsServer({
            exposition: () =>
                formatEntryExposition(
                    createEntryStateReport(state, clock.now()),
                    state.metrics,
                    eventLoopDelay,
                    this.listeners,
                ),
            state: () => createEntryStateReport(state, clock.now()),
        }, this.listeners);
        return this.store.add(server).start(this.settings.metricsAddress);
    }
}
