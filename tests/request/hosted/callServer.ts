import { createServer } from "node:http";
import { deflateRawSync } from "node:zlib";
import { readRelayedCall, relayHeaderNames } from "../../../src/connection/hosted/relayHeaders.js";
import { probeListener } from "../../../src/connection/probeListener.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import type { EndpointRecord } from "../../../src/process/hosted/endpointRecord.js";
import { CallDurations } from "../../../src/process/hosted/entry/callDurations.js";
import { CallQuarantine } from "../../../src/process/hosted/entry/callQuarantine.js";
import { CrashObserver } from "../../../src/process/hosted/entry/crashObserver.js";
import { DeploymentView } from "../../../src/process/hosted/entry/deploymentView.js";
import { EndpointFleet } from "../../../src/process/hosted/entry/endpointFleet.js";
import { EndpointRateLimits } from "../../../src/process/hosted/entry/endpointRateLimits.js";
import { EndpointReachability } from "../../../src/process/hosted/entry/endpointReachability.js";
import { EntryCounters } from "../../../src/process/hosted/entry/entryCounters.js";
import { EntryShutdown } from "../../../src/process/hosted/entry/entryShutdown.js";
import type { GrantSource } from "../../../src/process/hosted/entry/grantSource.js";
import { HostedRetryBudget } from "../../../src/process/hosted/entry/hostedRetryBudget.js";
import { RelayDirectory } from "../../../src/process/hosted/entry/relayDirectory.js";
import { StreamOrigins } from "../../../src/process/hosted/entry/streamOrigins.js";
import { UsageCounts } from "../../../src/process/hosted/entry/usageCounts.js";
import type { CallContext } from "../../../src/request/hosted/callContext.js";
import { HostedCall } from "../../../src/request/hosted/hostedCall.js";
import { PredictedStartChooser } from "../../../src/request/hosted/predictedStartChooser.js";
import { RetryDetector } from "../../../src/request/hosted/retryDetector.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { MedianClock } from "../../../src/util/medianClock.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { listen } from "../../../src/util/socketAddress.js";
import { SuspensionDetector } from "../../../src/util/suspensionDetector.js";
import { readAt } from "../../process/hosted/entry/listReadings.js";
import { NoLeader } from "../../process/hosted/entry/noLeader.js";

/** Time within which a listening endpoint accepts a connection, in milliseconds. */
const probeTimeout = 1_000;

/** Version of the configuration that a {@link CallServer} applies. */
const version = 3;

const bounds = {
    keyWithdrawal: 5_000,
    shutdown: 8_000,
    dutyHandoverDelay: 3_000,
    usageWindow: 5_000,
    retryWindow: 10_000,
    retryFraction: 0.2,
    retryReserve: 100,
    resolutionTimeToLive: 2_000,
};

/**
 * Serves calls like an entry, without control processes: the test gives permits and lists endpoints. A call with a token
 * counts as one of another entry.
 */
export class CallServer implements AsyncDisposable {
    private readonly store = new DisposableStore();
    readonly clock = new SystemClock();
    readonly context: CallContext;
    callerAddress = "";
    /** The calls that were received. */
    readonly calls: HostedCall[] = [];
    private areEndpointsReachable = true;

    private constructor(eventLog: EventLog, grantSource: GrantSource) {
        const { clock, store } = this;
        const suspensionDetector = new SuspensionDetector(clock);
        const random = new RandomSource(1);
        const entryCount = (): number => 1;
        this.context = {
            view: new DeploymentView(bounds.keyWithdrawal, eventLog),
            fleet: store.add(new EndpointFleet(eventLog)),
            chooser: new PredictedStartChooser(random),
            retryBudget: new HostedRetryBudget({ clock, suspensionDetector, random, bounds, entryCount }),
            retryDetector: new RetryDetector(),
            usageCounts: new UsageCounts(bounds.usageWindow),
            counters: new EntryCounters(),
            clock,
            suspensionDetector,
            medianClock: new MedianClock(),
            random,
            eventLog,
            entryCount,
            rateLimits: new EndpointRateLimits({ clock, suspensionDetector, random, eventLog, entryCount }),
            grantSource,
            crashObserver: new CrashObserver({
                clock,
                eventLog,
                probe: address => probeListener(address, probeTimeout),
                onCrash: () => undefined,
            }),
            quarantine: new CallQuarantine(() => undefined),
            durations: new CallDurations(),
            shutdown: new EntryShutdown(),
            reachability: new EndpointReachability({
                clock,
                eventLog,
                random,
                addresses: () => ["127.0.0.1:1", "127.0.0.1:2"],
                activeEndpoints: () => ({ count: 0, silent: 0 }),
                probe: () => Promise.resolve(this.areEndpointsReachable ? "listening" : "refused"),
            }),
            relays: store.add(new RelayDirectory(random)),
            streamOrigins: new StreamOrigins({
                clock,
                entryCount,
                ask: () => Promise.resolve({ origin: undefined, isFromLeader: false }),
                onReportDue: () => undefined,
            }),
        };
    }

    /** Starts a server with a configuration and endpoints, which has no permit yet. */
    static async start(
        document: object,
        endpoints: readonly EndpointRecord[],
        grantSource: GrantSource = new NoLeader(),
    ): Promise<CallServer> {
        const callServer = new CallServer(new EventLog("test", "hidden"), grantSource);
        const { clock, context: { fleet, view }, store } = callServer;
        view.applyConfiguration(version, deflateRawSync(JSON.stringify(document)));
        fleet.applyList(endpoints, readAt(clock.now()), clock.now());
        const server = createServer({ maxHeaderSize: 64 * 1024 }, (request, response) => {
            const isRelayed = request.headers[relayHeaderNames.token] !== undefined;
            const relayed = isRelayed ? readRelayedCall(request.headers) : undefined;
            const call = new HostedCall(request, response, callServer.context, clock.now(), relayed);
            callServer.calls.push(call);
            void call.run();
        });
        store.defer(() => {
            server.close();
            server.closeAllConnections();
        });
        callServer.callerAddress = await listen(server, "127.0.0.1:0");
        return callServer;
    }

    /** Puts a newer configuration in force. */
    applyConfiguration(document: object, newVersion: number): void {
        this.context.view.applyConfiguration(newVersion, deflateRawSync(JSON.stringify(document)));
        this.context.view.recordConfirmation(this.clock.now(), newVersion);
    }

    /** Confirms the configuration, which permits calls until its age exceeds the limit. */
    givePermit(): void {
        this.context.view.recordConfirmation(this.clock.now(), version);
    }

    /** Makes the server notice that it is cut off from all endpoints, or that it reaches them again. */
    async setCutOff(isCutOff: boolean): Promise<void> {
        this.areEndpointsReachable = !isCutOff;
        await this.context.reachability.verify();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}
