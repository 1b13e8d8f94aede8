import { CallerServer } from "../../connection/entry/callerServer.js";
import { MetricsServer } from "../../connection/metrics/metricsServer.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EntrySettings } from "../../settings/entrySettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { keepControlLink } from "./controlLink.js";
import { entryExposition } from "./entryExposition.js";
import { EntryProcessState } from "./entryProcessState.js";
import { entryStateReport } from "./entryStateReport.js";

/** How often waiting requests are looked at for those whose time has run out, in milliseconds. */
const sweepInterval: Milliseconds = 50;

/** Longest time until the other entries no longer name a draining one, in milliseconds. */
const listingDelay: Milliseconds = 1_000;

/** Longest wait of a stopping entry for the confirmation of its usage records, in milliseconds. */
const usageDeliveryTimeout: Milliseconds = 10_000;

/** The addresses at which an entry serves. */
export interface EntryAddresses {
    readonly callerAddress: string;
    readonly metricsAddress: string;
}

/** An entry process: takes callers' requests and sends them to endpoints. */
export class EntryProcess implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private readonly stopping = new AbortController();
    private readonly state: EntryProcessState;
    private requestStop: (reason: string) => void = () => undefined;
    /** Resolves with the reason when the process should stop by itself. */
    readonly stopRequested = new Promise<string>(resolve => {
        this.requestStop = resolve;
    });

    constructor(private readonly settings: EntrySettings, private readonly clock: Clock, eventLog: EventLog) {
        this.state = this.store.add(new EntryProcessState(settings, clock, eventLog));
    }

    /** Starts to serve; resolves with the bound addresses. */
    async start(): Promise<EntryAddresses> {
        const metricsAddress = await this.listenForMetrics();
        const callerServer = new CallerServer(this.state);
        const callerAddress = await callerServer.start();
        const tasks = [this.followControl({ callerAddress, metricsAddress }), this.sweepQueues()];
        this.store.defer(async () => {
            this.stopping.abort();
            await Promise.all(tasks);
        });
        this.store.defer(() => this.deliverUsage());
        this.store.add(callerServer);
        return { callerAddress, metricsAddress };
    }

    /** Leaves discovery, serves through the time for which callers keep its address, then ends what is idle. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.state.draining = true;
        await this.clock.sleep(this.settings.discoverySeconds * 1000 + listingDelay);
        await this.store.dispose();
    }

    /** Waits, after the last request has ended, until control has confirmed what is to be billed. */
    private async deliverUsage(): Promise<void> {
        const end = this.clock.now() + usageDeliveryTimeout;
        while (!this.state.usage.delivered && this.clock.now() < end) {
            await this.clock.sleep(sweepInterval);
        }
        if (!this.state.usage.delivered) {
            this.state.eventLog.write("usageUndelivered", {});
        }
    }

    private followControl(addresses: EntryAddresses): Promise<void> {
        const { cluster, name, failureDomain, controlAddresses } = this.settings;
        const { state, clock } = this;
        return keepControlLink(
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
                usage: state.usage,
                clock,
                eventLog: state.eventLog,
                configuration: state.configuration,
                permit: state.permit,
                status: () => state.status(),
                takePoolRows: now => state.takePoolRows(now),
                takeDemands: now => state.limits.takeDemands(now),
                onPoolSums: (sums, now) => {
                    state.updatePressure(sums, now);
                },
                onLimitParts: (parts, now) => {
                    state.limits.takeParts(parts, now);
                },
                onDrain: () => {
                    this.requestStop("an operator drains this entry");
                },
                claims: state.claims,
                onListing: listings => {
                    state.updateListing(listings, clock.now());
                },
            },
            this.stopping.signal,
        );
    }

    private async sweepQueues(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            this.state.sweep(this.clock.now());
            await this.clock.sleep(sweepInterval, this.stopping.signal);
        }
    }

    private listenForMetrics(): Promise<string> {
        const { state, clock } = this;
        const server = new MetricsServer({
            exposition: () => entryExposition(entryStateReport(state, clock.now()), state.metrics),
            state: () => entryStateReport(state, clock.now()),
        });
        return this.store.add(server).start(this.settings.metricsAddress);
    }
}
