import { randomInt, randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { readCallTraits } from "../../../../platform/callHeaders.js";
import { servedCalls } from "../../../../platform/servedCalls.js";
import { abortResponse } from "../../../connection/abortResponse.js";
import { connectClient } from "../../../connection/clientSocket.js";
import type { OpenConnection } from "../../../connection/hosted/endpointAgent.js";
import { controlLinkPortOffset, relayPortOffset } from "../../../connection/hosted/linkMessages.js";
import type { EntryHeartbeat } from "../../../connection/hosted/linkMessages.js";
import type { RelayedCall } from "../../../connection/hosted/relayHeaders.js";
import { RelayServer } from "../../../connection/hosted/relayServer.js";
import { sendFailure, sendJson } from "../../../connection/httpResponse.js";
import { HttpServerDrain } from "../../../connection/httpServerDrain.js";
import { MetricsServer } from "../../../connection/metrics/metricsServer.js";
import { probeListener } from "../../../connection/probeListener.js";
import type { ListenerState } from "../../../connection/probeListener.js";
import { HttpListeners } from "../../../connection/server/httpListeners.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { CallContext } from "../../../request/hosted/callContext.js";
import { HostedCall } from "../../../request/hosted/hostedCall.js";
import { PredictedStartChooser } from "../../../request/hosted/predictedStartChooser.js";
import { RetryDetector } from "../../../request/hosted/retryDetector.js";
import { failure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { DisposableStore } from "../../../util/disposableStore.js";
import { MedianClock } from "../../../util/medianClock.js";
import { RandomSource } from "../../../util/randomSource.js";
import { listen, splitAddress } from "../../../util/socketAddress.js";
import { SuspensionDetector } from "../../../util/suspensionDetector.js";
import { EventLoopDelayMonitor } from "../../metrics/eventLoopDelayMonitor.js";
import { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { HostedProcess } from "../hostedProcess.js";
import type { HostedSettings } from "../hostedSettings.js";
import { startMetrics } from "../startMetrics.js";
import { CallDurations } from "./callDurations.js";
import { CallQuarantine } from "./callQuarantine.js";
import { ControlLinks } from "./controlLinks.js";
import { CrashObserver } from "./crashObserver.js";
import { DeploymentView } from "./deploymentView.js";
import { EndpointFleet } from "./endpointFleet.js";
import { EndpointRateLimits } from "./endpointRateLimits.js";
import { EndpointReachability } from "./endpointReachability.js";
import { EntryCounters } from "./entryCounters.js";
import type { CallCounts } from "./entryCounters.js";
import { drainingAcceptTime, EntryShutdown } from "./entryShutdown.js";
import { HostedRetryBudget } from "./hostedRetryBudget.js";
import { RelayDirectory } from "./relayDirectory.js";
import { StreamOrigins } from "./streamOrigins.js";
import { UsageCounts } from "./usageCounts.js";

/**
 * Maximum size of request headers that the HTTP parser accepts, in bytes; the configured limit is checked afterwards.
 */
const maximumHeaderBytes = 64 * 1024;

/** Idle timeout of connections until the first configuration sets one. */
const initialIdleTimeout: Milliseconds = 15_000;

/** Fraction of the shutdown time after which the remaining calls are ended. */
const shutdownFraction = 0.94;

/** Time within which the host of an ended endpoint refuses a connection; several times the round-trip time. */
const crashProbeTimeout: Milliseconds = 250;

/** Time for which the final responses of the remaining calls are written. */
const finalResponseTime: Milliseconds = 200;

/** Maximum number of calls that are listed in the log when a shutdown begins: the newest ones. */
const maximumListedCalls = 256;

/** Polling interval while the running calls finish. */
const shutdownPollInterval: Milliseconds = 50;

/** Number of possible seeds of the random source. */
const seedCount = 2 ** 31;

/** An entry of a hosted installation: accepts calls from callers and routes them to endpoints. */
export class HostedEntryProcess implements HostedProcess {
    private readonly disposables = new DisposableStore();
    private readonly shutdownController = new AbortController();
    private readonly sockets = new Set<Socket>();
    private readonly runningCalls = new Map<ServerResponse, HostedCall>();
    private readonly fleet: EndpointFleet;
    private readonly view: DeploymentView;
    private readonly suspensionDetector: SuspensionDetector;
    private readonly callContext: CallContext;
    private readonly controlLinks: ControlLinks;
    private readonly server: Server;
    private readonly drain: HttpServerDrain;
    private readonly relayServer: RelayServer;
    private readonly listeners: HttpListeners;
    /** Undefined while no calls can be relayed. */
    private relayAddress: string | undefined;
    private readonly shutdown = new EntryShutdown();
    private entryCount = 1;

    constructor(
        private readonly settings: () => HostedSettings,
        private readonly clock: Clock,
        eventLog: EventLog,
        openConnection: OpenConnection = connectClient,
    ) {
        const { bounds, name, failureDomain, callerAddress = "", firstInternalPort, seedOperatorAddresses } =
            settings();
        this.listeners = new HttpListeners(settings().connectionLimits, clock, eventLog);
        this.fleet = this.disposables.add(new EndpointFleet(eventLog, openConnection));
        this.view = new DeploymentView(bounds.keyWithdrawal, eventLog);
        this.suspensionDetector = new SuspensionDetector(clock);
        const medianClock = new MedianClock();
        const usageCounts = new UsageCounts(bounds.usageWindow);
        const random = new RandomSource(randomInt(seedCount));
        const rateLimits = new EndpointRateLimits({
            clock,
            suspensionDetector: this.suspensionDetector,
            random,
            eventLog,
            entryCount: () => this.entryCount,
        });
        const retryBudget = new HostedRetryBudget({
            clock,
            suspensionDetector: this.suspensionDetector,
            random,
            bounds,
            entryCount: () => this.entryCount,
        });
        const quarantine = new CallQuarantine(() => {
            this.controlLinks.sendEvidence();
        });
        const streamOrigins = new StreamOrigins({
            clock,
            entryCount: () => this.entryCount,
            ask: (team, callId) => this.controlLinks.findStreamOrigin(team, callId),
            onReportDue: () => {
                this.controlLinks.sendStartedStreams();
            },
        });
        const probe = (address: string): Promise<ListenerState> =>
            probeListener(address, crashProbeTimeout, openConnection);
        const reachability = new EndpointReachability({
            clock,
            eventLog,
            random,
            addresses: () => this.fleet.addresses,
            activeEndpoints: (silence, now) => this.fleet.activeEndpoints(silence, now),
            probe,
        });
        reachability.onChange(() => {
            this.fleet.resetHealth();
            this.controlLinks.sendHeartbeats(clock.now());
        });
        const relays = this.disposables.add(new RelayDirectory(random));
        this.relayServer = this.disposables.add(
            new RelayServer(this.listeners, () => this.maximumBodyBytes(), (request, response, call) => {
                this.serve(request, response, clock.now(), call);
            }, (request, code) => {
                const requestId = readCallTraits(request.headers).callId;
                eventLog.write("relayedCallRejected", { requestId, code, version: this.view.version });
            }),
        );
        this.controlLinks = new ControlLinks(
            {
                entry: name,
                incarnation: randomUUID(),
                failureDomain,
                callerAddress,
                clock,
                suspensionDetector: this.suspensionDetector,
                medianClock,
                eventLog,
                view: this.view,
                usageCounts,
                rateLimits,
                retryBudget,
                quarantine,
                streamOrigins,
                relayState: () => this.relayState(),
                onRelays: offers => {
                    relays.applyOffers(offers, clock.now());
                },
                isReady: () => this.isReady(),
                ownWork: now => this.callContext.chooser.ownWork(now),
                onTotalWork: work => {
                    this.callContext.chooser.recordTotalWork(work, clock.now());
                },
                onEndpoints: (endpoints, reading) => {
                    this.fleet.applyList(endpoints, reading, clock.now());
                },
                onEntryCount: entries => {
                    this.entryCount = entries;
                },
            },
            firstInternalPort + controlLinkPortOffset,
            hostsOf(seedOperatorAddresses),
            () => this.entryCount,
        );
        this.callContext = {
            view: this.view,
            fleet: this.fleet,
            chooser: new PredictedStartChooser(random),
            retryBudget,
            retryDetector: new RetryDetector(),
            usageCounts,
            counters: new EntryCounters(),
            clock,
            suspensionDetector: this.suspensionDetector,
            medianClock,
            random,
            eventLog,
            entryCount: () => this.entryCount,
            rateLimits,
            grantSource: this.controlLinks,
            crashObserver: new CrashObserver({
                clock,
                eventLog,
                // A connection that is refused because this entry is cut off says nothing about the endpoint.
                probe: async address => {
                    const state = await probe(address);
                    return state === "refused" && await reachability.verify() ? "unreachable" : state;
                },
                onCrash: crash => {
                    quarantine.recordCrash(crash, clock.now());
                },
            }),
            quarantine,
            streamOrigins,
            durations: new CallDurations(),
            shutdown: this.shutdown,
            reachability,
            relays,
        };
        this.server = this.createServer();
        this.drain = new HttpServerDrain(this.server);
    }

    async start(): Promise<void> {
        const { callerAddress, readinessAddress } = this.settings();
        await listen(this.server, callerAddress ?? "");
        if (readinessAddress !== undefined) {
            const readiness = this.listeners.create({ name: "readiness" }, (request, response) => {
                this.respondToReadiness(request, response);
            }).server;
            this.disposables.defer(() => {
                readiness.close();
                readiness.closeAllConnections();
            });
            await listen(readiness, readinessAddress);
        }
        await this.serveMetrics();
        await this.startRelayServer();
        void this.controlLinks.run(this.shutdownController.signal);
        void this.callContext.reachability.run(this.shutdownController.signal);
    }

    /** Without the server, the entry serves its own callers only. */
    private async startRelayServer(): Promise<void> {
        const { host, firstInternalPort } = this.settings();
        try {
            this.relayAddress = await this.relayServer.start(`${host}:${firstInternalPort + relayPortOffset}`);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.callContext.eventLog.write("taskFailed", { task: "relayServer", reason });
        }
    }

    private relayState(): Pick<EntryHeartbeat, "relay" | "needsRelays"> {
        const { relayAddress, relayServer, callContext } = this;
        if (callContext.reachability.isCutOff) {
            return { needsRelays: true };
        }
        return relayAddress === undefined ? {} : { relay: { address: relayAddress, token: relayServer.token } };
    }

    private async serveMetrics(): Promise<void> {
        const { view, counters, rateLimits, retryBudget, quarantine, reachability } = this.callContext;
        const eventLoopDelay = this.disposables.add(new EventLoopDelayMonitor(this.clock));
        const metrics = this.disposables.add(
            new MetricsServer({
                exposition: () => {
                    const writer = new ExpositionWriter();
                    counters.write(writer);
                    this.fleet.write(writer, this.suspensionDetector.now());
                    eventLoopDelay.write(writer);
                    rateLimits.write(writer);
                    retryBudget.write(writer);
                    quarantine.write(writer);
                    writer.family("gullhall_cut_off", "gauge", "1 while this entry reaches no endpoint, otherwise 0.");
                    writer.sample("gullhall_cut_off", {}, reachability.isCutOff ? 1 : 0);
                    writer.family("gullhall_version", "gauge", "Version of the configuration in force.");
                    writer.sample("gullhall_version", {}, view.version);
                    writer.family("gullhall_running_calls", "gauge", "Calls that are under way.");
                    writer.sample("gullhall_running_calls", {}, this.runningCalls.size);
                    this.listeners.write(writer);
                    return writer.toString();
                },
                state: () => ({
                    version: view.version,
                    isReady: this.isReady(),
                    runningCalls: this.runningCalls.size,
                }),
            }, this.listeners),
        );
        await startMetrics(metrics, this.settings().host, this.callContext.eventLog);
    }

    applySettings(): void {
        this.controlLinks.addHosts(hostsOf(this.settings().seedOperatorAddresses));
    }

    /**
     * Shuts down gracefully: reports that the entry is not ready, so that callers use other entries, lets running calls
     * finish, and ends those that take too long.
     */
    async [Symbol.asyncDispose](): Promise<void> {
        const startedAt = this.clock.now();
        const callTime = this.settings().bounds.shutdown * shutdownFraction;
        const endAt = startedAt + callTime;
        this.shutdown.begin(callTime, this.suspensionDetector.now());
        const countsBefore = this.logShutdownBegin(callTime, startedAt);
        for (const response of this.runningCalls.keys()) {
            response.shouldKeepAlive = false;
        }
        this.controlLinks.sendHeartbeats(startedAt);
        await this.clock.sleep(drainingAcceptTime);
        // Callers that have opened connections are refused on them rather than cut off.
        void this.drain.close("kept");
        await this.waitForCalls(endAt);
        this.controlLinks.sendHeartbeats(this.clock.now());
        const endedCalls = this.runningCalls.size;
        this.runningCalls.forEach(call => {
            call.endBecauseEntryStops();
        });
        await this.waitForCalls(this.clock.now() + finalResponseTime);
        this.logShutdownEnd(countsBefore, endedCalls, this.clock.now() - startedAt);
        this.shutdownController.abort();
        [...this.runningCalls.keys()].forEach(abortResponse);
        this.sockets.forEach(socket => socket.destroy());
        await this.disposables.dispose();
    }

    /** Logs the calls that are under way; returns how many calls had ended in each way before. */
    private logShutdownBegin(callTime: Milliseconds, now: Milliseconds): CallCounts {
        const { counters, eventLog } = this.callContext;
        const listed = [...this.runningCalls.values()].slice(-maximumListedCalls);
        eventLog.write("entryShutdownBegan", {
            runningCalls: this.runningCalls.size,
            listedCalls: listed.length,
            shutdownLeft: Math.round(callTime),
        });
        listed.forEach(call => {
            call.logAtShutdown(now);
        });
        return counters.endedCalls();
    }

    private logShutdownEnd(before: CallCounts, ended: number, duration: Milliseconds): void {
        const { counters, eventLog } = this.callContext;
        const { answered, refused, failed, left } = counters.endedCalls();
        eventLog.write("entryShutdownEnded", {
            duration: Math.round(duration),
            answered: answered - before.answered,
            refused: refused - before.refused,
            failed: failed - before.failed,
            left: left - before.left,
            ended,
        });
    }

    private async waitForCalls(endAt: Milliseconds): Promise<void> {
        while (this.runningCalls.size > 0 && this.clock.now() < endAt) {
            await this.clock.sleep(shutdownPollInterval);
        }
    }

    private get isDraining(): boolean {
        return this.shutdown.isUnderWay;
    }

    private isReady(): boolean {
        return !this.isDraining && this.fleet.hasList && this.view.permitsCalls(this.suspensionDetector.now());
    }

    private createServer(): Server {
        const { server } = this.listeners.create({
            name: "callers",
            maximumBodyBytes: () => this.maximumBodyBytes(),
            server: {
                maxHeaderSize: maximumHeaderBytes,
                noDelay: true,
                keepAliveTimeout: initialIdleTimeout,
                requestTimeout: 0,
            },
        }, (request, response, receivedAt) => {
            this.serve(request, response, receivedAt);
        });
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        return server;
    }

    private maximumBodyBytes(): number {
        return this.view.current?.deployment.limits.bodyBytes ?? 0;
    }

    private serve(
        request: IncomingMessage,
        response: ServerResponse,
        receivedAt: Milliseconds,
        relayed?: RelayedCall,
    ): void {
        this.applyLimits();
        response.sendDate = false;
        if (this.isDraining) {
            response.shouldKeepAlive = false;
        }
        const call = new HostedCall(request, response, this.callContext, receivedAt, relayed);
        this.runningCalls.set(response, call);
        response.once("close", () => {
            this.runningCalls.delete(response);
        });
        call.run().catch((error: unknown) => {
            const reason = error instanceof Error ? error.stack ?? error.message : String(error);
            this.callContext.eventLog.write("taskFailed", { task: "call", reason });
            if (response.headersSent) {
                abortResponse(response);
            }
            else {
                sendFailure(response, failure("callOutcomeUnknown"));
            }
        });
    }

    private applyLimits(): void {
        const limits = this.view.current?.deployment.limits;
        if (limits !== undefined) {
            this.server.keepAliveTimeout = limits.idleTimeout;
            this.server.headersTimeout = limits.headerTimeout;
        }
    }

    private respondToReadiness(request: IncomingMessage, response: ServerResponse): void {
        request.resume();
        const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
        if (path !== servedCalls.readiness.path) {
            sendFailure(response, failure("requestUnknown", { method: request.method ?? "?", path }));
            return;
        }
        sendJson(response, this.isReady() ? 200 : 503, { isReady: this.isReady() });
    }
}

function hostsOf(addresses: readonly string[]): readonly string[] {
    return addresses.map(address => splitAddress(address).host);
}
