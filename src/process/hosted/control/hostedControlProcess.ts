import type { Server as HttpServer } from "node:http";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { inflateRawSync } from "node:zlib";
import { readDesiredState } from "../../../../platform/desiredState.js";
import { encodePresence, EntryLink } from "../../../connection/hosted/entryLink.js";
import { createHostedControlServer } from "../../../connection/hosted/hostedControlServer.js";
import { controlLinkPortOffset } from "../../../connection/hosted/linkMessages.js";
import { HttpServerDrain } from "../../../connection/httpServerDrain.js";
import { MetricsServer } from "../../../connection/metrics/metricsServer.js";
import { HttpListeners } from "../../../connection/server/httpListeners.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { formatFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { CoalescedTask } from "../../../util/coalescedTask.js";
import { DisposableStore } from "../../../util/disposableStore.js";
import { MedianClock } from "../../../util/medianClock.js";
import { listen, splitAddress } from "../../../util/socketAddress.js";
import { SuspensionDetector } from "../../../util/suspensionDetector.js";
import type { DeployedService } from "../../../version/deployment.js";
import { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { HttpLeasedCaller } from "../../platform/httpLeasedCaller.js";
import { runWhileLeading } from "../../platform/platformDuties.js";
import { DiskSpace } from "../../replicatedLog/diskSpace.js";
import { FileLogStorage } from "../../replicatedLog/fileLogStorage.js";
import { defaultLogTiming } from "../../replicatedLog/logTiming.js";
import { votersOf } from "../../replicatedLog/membership.js";
import type { ReplicatedLog } from "../../replicatedLog/replicatedLog.js";
import type { HostedProcess } from "../hostedProcess.js";
import type { HostedSettings } from "../hostedSettings.js";
import { startMetrics } from "../startMetrics.js";
import { StreamOriginStore } from "../streamOriginStore.js";
import { DocumentService } from "./documentService.js";
import { DutyLease } from "./dutyLease.js";
import { EndpointListPoller } from "./endpointListPoller.js";
import { EndpointLists } from "./endpointLists.js";
import { EntryRegistry } from "./entryRegistry.js";
import { openHostedLog } from "./hostedLog.js";
import type { OpenStorage } from "./hostedLog.js";
import { HostedState } from "./hostedState.js";
import type { HostedCommand, HostedOutcome } from "./hostedState.js";
import { OrderDuty } from "./orderDuty.js";
import { PresenceLinks } from "./presenceLinks.js";
import { QuarantineDuty } from "./quarantineDuty.js";
import { RateLimitLedger } from "./rateLimitLedger.js";
import { RetryLedger } from "./retryLedger.js";
import { SharedConfirmation } from "./sharedConfirmation.js";
import { UsageDuty } from "./usageDuty.js";

/** Delay before retrying to open the log after a disk or network failure. */
const openRetryDelay: Milliseconds = 500;

/** Timeout of a call to the platform; together with the margin it must fit into the remaining lease. */
const callTimeout: Milliseconds = 350;

/** Minimum remaining lease beyond the timeout of a call. */
const leaseMargin: Milliseconds = 50;

/** Number of past usage windows whose counts are kept; a window is sealed long before its counts are dropped. */
const retainedWindows = 14;

/**
 * Minimum time between two reports of the linked entries to other control processes: when many entries link at once, the
 * reports would otherwise grow with the square of their number.
 */
const minimumPresencePushInterval: Milliseconds = 100;

/** The same time for each link; the longer one applies. */
const presencePushTimePerLink: Milliseconds = 1;

/** Minimum time between two messages with suspects to the same entry. */
const minimumSuspectsPushInterval: Milliseconds = 50;

/** The same time for each entry that is linked; the longer one applies. */
const suspectsPushTimePerEntry: Milliseconds = 3;

/** Maximum number of streams whose origin is kept. */
const maximumStreamOrigins = 131_072;

/** Maximum time that a stopping process waits for requests of operators to end; longer than any handler takes. */
const operatorDrainTimeLimit: Milliseconds = 2_000;

type HostedLog = ReplicatedLog<HostedCommand, HostedOutcome>;

/**
 * A control process of a hosted installation: stores the configuration, distributes it to the entries, and makes the
 * calls to the platform while it is the leader.
 */
export class HostedControlProcess implements HostedProcess {
    private readonly disposables = new DisposableStore();
    private readonly diskSpace: DiskSpace;
    private readonly shutdownController = new AbortController();
    private readonly links = new Set<EntryLink>();
    private readonly registry = new EntryRegistry(() => {
        this.presencePush.request();
    });
    private readonly medianClock = new MedianClock();
    /** Lists that this control process or another one has read; all entries are told, whoever leads. */
    private readonly endpointLists = new EndpointLists(() => {
        this.links.forEach(link => {
            link.pushEndpoints();
        });
    });
    private readonly streamOrigins = new StreamOriginStore(maximumStreamOrigins);
    private readonly rateLimits: RateLimitLedger;
    private readonly retries: RetryLedger;
    private readonly suspensionDetector: SuspensionDetector;
    private parsedServices: readonly DeployedService[] = [];
    private parsedVersion = 0;
    private pendingDocumentPush: NodeJS.Immediate | undefined;
    private pendingHoldsPush: NodeJS.Immediate | undefined;
    private readonly presencePush: CoalescedTask;
    private readonly suspectsPush: CoalescedTask;
    private readonly listeners: HttpListeners;
    private quarantine: QuarantineDuty | undefined;
    private readonly state = new HostedState(() => {
        // Coalesces changes applied in the same turn: entries need only the newest version.
        this.pendingDocumentPush ??= setImmediate(() => {
            this.pendingDocumentPush = undefined;
            this.links.forEach(link => {
                link.pushDocument();
            });
        });
    }, () => {
        this.pendingHoldsPush ??= setImmediate(() => {
            this.pendingHoldsPush = undefined;
            this.links.forEach(link => {
                link.pushHolds();
            });
        });
    });

    constructor(
        private readonly settings: () => HostedSettings,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
        private readonly openStorage: OpenStorage = (folder, diskSpace) => FileLogStorage.open(folder, diskSpace),
    ) {
        this.listeners = new HttpListeners(settings().connectionLimits, clock, eventLog);
        const { signal } = this.shutdownController;
        const intervalFor = (minimum: Milliseconds, perLink: Milliseconds) => (): Milliseconds =>
            Math.max(minimum, this.links.size * perLink);
        this.presencePush = new CoalescedTask(
            clock,
            intervalFor(minimumPresencePushInterval, presencePushTimePerLink),
            () => {
                this.pushPresence();
            },
            signal,
        );
        this.suspectsPush = new CoalescedTask(
            clock,
            intervalFor(minimumSuspectsPushInterval, suspectsPushTimePerEntry),
            () => {
                this.links.forEach(link => {
                    link.pushSuspects();
                });
            },
            signal,
        );
        this.diskSpace = new DiskSpace(clock, eventLog);
        this.suspensionDetector = new SuspensionDetector(clock);
        this.rateLimits = new RateLimitLedger(eventLog);
        this.retries = new RetryLedger(settings().bounds);
    }

    /** Starts the process; resolves once it listens on all addresses. */
    async start(): Promise<void> {
        const log = await this.openLog();
        if (log === undefined) {
            return;
        }
        const { operatorAddress = "", resolutionAddress } = this.settings();
        const { state, clock, eventLog, registry } = this;
        const confirmation = new SharedConfirmation(log, state, clock);
        const documents = new DocumentService({ log, state, confirmation, clock, eventLog, operatorAddress });
        const endpointPoller = this.startEndpointPoller(log);
        const quarantine = new QuarantineDuty({
            log,
            state,
            clock,
            unixNow: () => this.medianClock.medianUnixTime(clock),
            eventLog,
            endpointCount: service =>
                this.endpointLists.snapshot?.endpoints.filter(endpoint => endpoint.service === service).length ?? 0,
            onSuspectsChange: () => {
                this.suspectsPush.request();
            },
        });
        this.quarantine = quarantine;
        await this.listenForEntries(log, confirmation, endpointPoller, quarantine);
        for (const address of [operatorAddress, resolutionAddress]) {
            if (address !== undefined && address !== "") {
                await this.serveOperators(
                    createHostedControlServer({
                        documents,
                        registry,
                        clock,
                        eventLog,
                        listeners: this.listeners,
                        maximumTimeToLive: this.settings().bounds.resolutionTimeToLive,
                        heldCalls: {
                            holds: () => state.holds,
                            quarantine,
                            otherLeader: () => log.leadingTerm() === undefined ? log.leaderAddress() : undefined,
                        },
                    }),
                    address,
                );
            }
        }
        await this.serveMetrics(log);
        this.runDuties(log, quarantine);
        void this.pruneUsageCounts();
    }

    applySettings(): void {
        // Nothing to apply: settings are read on each use, and members find each other through the log.
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.shutdownController.abort();
        await this.disposables.dispose();
    }

    /** Opens the log, retrying while the disk or the address is unavailable; undefined if the process stops first. */
    private async openLog(): Promise<HostedLog | undefined> {
        const { state, clock, eventLog, disposables, diskSpace, openStorage } = this;
        while (!this.shutdownController.signal.aborted) {
            const opened = await openHostedLog({
                settings: this.settings(),
                state,
                clock,
                eventLog,
                disposables,
                openStorage: folder => openStorage(folder, diskSpace),
            });
            if (opened.ok) {
                return opened.val;
            }
            eventLog.write("taskFailed", { task: "openLog", reason: formatFailure(opened.val) });
            await clock.sleep(openRetryDelay, this.shutdownController.signal);
        }
        return undefined;
    }

    /** Writes how long ago the list of endpoints was read; nothing before the first time. */
    private writeListAge(writer: ExpositionWriter): void {
        const { snapshot } = this.endpointLists;
        if (snapshot !== undefined) {
            const family = "gullhall_endpoint_list_age_seconds";
            writer.family(family, "gauge", "Time since the newest list of endpoints was read from the platform.");
            writer.sample(family, {}, (this.suspensionDetector.now() - snapshot.polledAt) / 1_000);
        }
    }

    private startEndpointPoller(log: HostedLog): EndpointListPoller {
        const { clock, eventLog } = this;
        const endpointPoller = new EndpointListPoller({
            platformAddress: this.settings().platform.address,
            callsPerSecond: this.settings().platform.listCallsPerSecond,
            clock,
            suspensionDetector: this.suspensionDetector,
            eventLog,
            shouldPoll: () => log.leadingTerm() !== undefined || log.leaderAddress() === undefined,
            onChange: () => {
                this.links.forEach(link => {
                    link.pushOwnEndpoints();
                });
            },
            onReading: snapshot => {
                this.endpointLists.add(snapshot);
            },
        });
        void endpointPoller.run(this.shutdownController.signal);
        return endpointPoller;
    }

    private async listenForEntries(
        log: HostedLog,
        confirmation: SharedConfirmation,
        endpointPoller: EndpointListPoller,
        quarantine: QuarantineDuty,
    ): Promise<void> {
        const { clock, eventLog, medianClock, rateLimits, registry, retries, state, suspensionDetector } = this;
        const memberHosts = (): readonly string[] =>
            log.status().membership.members.map(member => splitAddress(member.address).host);
        const leaderHost = (): string | undefined => {
            const leader = log.leaderAddress();
            return leader === undefined ? undefined : splitAddress(leader).host;
        };
        const context = {
            clock,
            eventLog,
            medianClock,
            registry,
            document: () => state.document,
            suspensionDetector,
            endpoints: () => this.endpointLists.snapshot,
            ownEndpoints: () => endpointPoller.snapshot,
            confirmVersion: () => confirmation.version(),
            isLeader: () => log.leadingTerm() !== undefined,
            controlHosts: memberHosts,
            leaderHost,
            rateLimits,
            quarantine,
            holdsRevision: () => state.holdsRevision,
            streamOrigins: this.streamOrigins,
            retries,
            grantingTerm: () =>
                suspensionDetector.timeSinceSuspension() >= defaultLogTiming.leaseDuration
                    ? log.lease(clock.now(), 0)?.fencingNumber
                    : undefined,
        };
        const server = createServer(socket => {
            const link = new EntryLink(socket, context);
            this.links.add(link);
            void link.run().finally(() => this.links.delete(link));
        });
        this.disposables.defer(() => {
            this.links.forEach(link => {
                link.close();
            });
        });
        const { name, host, firstInternalPort } = this.settings();
        const port = firstInternalPort + controlLinkPortOffset;
        server.maxConnections = this.settings().connectionLimits.maximumConnections;
        await this.serve(server, `${host}:${port}`);
        const presenceLinks = new PresenceLinks({
            control: name,
            host,
            port,
            clock,
            suspensionDetector,
            eventLog,
            memberHosts,
            onPresence: (address, entries) => {
                registry.replaceRelayed(address, entries, clock.now());
            },
            onEndpoints: reading => {
                this.endpointLists.add(reading);
            },
        });
        void presenceLinks.run(this.shutdownController.signal, () => {
            this.presencePush.request();
        });
    }

    /** Reports the entries linked to this process to the other control processes. */
    private pushPresence(): void {
        const frame = encodePresence(this.registry, this.clock.now());
        this.links.forEach(link => {
            link.pushPresence(frame);
        });
    }

    private async serveMetrics(log: HostedLog): Promise<void> {
        const { state, registry, clock } = this;
        const gauges = (): Readonly<Record<string, number>> => {
            const { term, role, commitPosition, membership } = log.status();
            return {
                term,
                leading: role === "leader" ? 1 : 0,
                commit_position: commitPosition,
                members: membership.members.length,
                voters: votersOf(membership).length,
                version: state.version,
                entries: registry.count(clock.now()),
                endpoints: this.endpointLists.snapshot?.endpoints.length ?? 0,
                disk_full: this.diskSpace.isFull ? 1 : 0,
            };
        };
        const metrics = this.disposables.add(
            new MetricsServer({
                exposition: () => {
                    const writer = new ExpositionWriter();
                    for (const [name, value] of Object.entries(gauges())) {
                        writer.family(`gullhall_${name}`, "gauge", `The process's ${name.replace("_", " ")}.`);
                        writer.sample(`gullhall_${name}`, {}, value);
                    }
                    writeMemberSilence(writer, log, clock.now());
                    this.writeListAge(writer);
                    this.rateLimits.write(writer);
                    this.retries.write(writer);
                    this.quarantine?.write(writer);
                    this.listeners.write(writer);
                    return writer.toString();
                },
                state: gauges,
            }, this.listeners),
        );
        await startMetrics(metrics, this.settings().host, this.eventLog);
    }

    /** Services of the current configuration; parsed again only after a change. */
    private services(): readonly DeployedService[] {
        const { document } = this.state;
        if (document !== undefined && document.version !== this.parsedVersion) {
            const read = readDesiredState(inflateRawSync(document.body));
            this.parsedVersion = document.version;
            this.parsedServices = read.ok ? read.val.services : [];
        }
        return this.parsedServices;
    }

    private async serve(server: Server, address: string): Promise<void> {
        const sockets = new Set<Socket>();
        server.on("connection", (socket: Socket) => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        });
        this.disposables.defer(() => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        await listen(server, address);
    }

    /** Serves requests until the process stops, and answers those that it has received then. */
    private async serveOperators(server: HttpServer, address: string): Promise<void> {
        const drain = new HttpServerDrain(server);
        this.disposables.defer(() => drain.closeWithin(this.clock, operatorDrainTimeLimit));
        await listen(server, address);
    }

    /** Periodically drops old usage counts, on followers too: any may become leader, and counts must stay bounded. */
    private async pruneUsageCounts(): Promise<void> {
        const { clock, medianClock, registry, shutdownController: { signal } } = this;
        const { usageWindow } = this.settings().bounds;
        while (!signal.aborted) {
            await clock.sleep(usageWindow, signal);
            const currentWindow = Math.floor(medianClock.medianUnixTime(clock) / usageWindow);
            registry.pruneBefore(currentWindow - retainedWindows, clock.now());
            this.rateLimits.prune(clock.now());
            this.retries.prune(clock.now());
            this.streamOrigins.prune(clock.now());
        }
    }

    /** Runs the leader's tasks towards the platform in each term in which this process leads. */
    private runDuties(log: HostedLog, quarantine: QuarantineDuty): void {
        const { state, registry, clock, eventLog, medianClock, suspensionDetector } = this;
        const { name, bounds, platform } = this.settings();
        const dutyLease = new DutyLease(
            log,
            suspensionDetector,
            bounds.dutyHandoverDelay,
            defaultLogTiming.leaseDuration,
        );
        const lease = { lease: (now: Milliseconds, requiredTime: Milliseconds) => dutyLease.token(now, requiredTime) };
        const caller = new HttpLeasedCaller(lease, clock, callTimeout, leaseMargin);
        const usage = new UsageDuty({
            holder: name,
            platformAddress: platform.address,
            windowLength: bounds.usageWindow,
            handoverDelay: bounds.dutyHandoverDelay,
            log,
            state,
            registry,
            caller,
            clock,
            unixNow: () => medianClock.medianUnixTime(clock),
            eventLog,
        });
        void runWhileLeading(log, clock, term => {
            dutyLease.enterTerm(term, clock.now());
            const orders = new OrderDuty({
                holder: name,
                platformAddress: platform.address,
                services: () => this.services(),
                endpoints: () => this.endpointLists.snapshot?.endpoints,
                engineTimeOf: service => {
                    const { long, other } = registry.work(clock.now())[service] ?? { long: 0, other: 0 };
                    return long + other;
                },
                caller,
                clock,
                eventLog,
            });
            return [
                (signal: AbortSignal) => quarantine.run(signal),
                ...platform.reportsUsage ? [(signal: AbortSignal) => usage.run(signal)] : [],
                ...platform.ordersEndpoints ? [(signal: AbortSignal) => orders.run(signal)] : [],
            ];
        }, this.shutdownController.signal);
    }
}

/** Writes how long the leader has not heard from each member; nothing at other members. */
function writeMemberSilence(writer: ExpositionWriter, log: HostedLog, now: Milliseconds): void {
    const family = "gullhall_member_silence_seconds";
    writer.family(family, "gauge", "Time since the leader's last contact with a member of the log group.");
    for (const { memberId, address, role } of log.status().membership.members) {
        const silence = log.silenceOf(memberId, now);
        if (silence !== undefined) {
            writer.sample(family, { member: memberId, address, role }, silence / 1000);
        }
    }
}
