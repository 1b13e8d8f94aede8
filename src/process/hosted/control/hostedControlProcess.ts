import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { inflateRawSync } from "node:zlib";
import { readDesiredState } from "../../../../platform/desiredState.js";
import { EntryLink } from "../../../connection/hosted/entryLink.js";
import { createHostedControlServer } from "../../../connection/hosted/hostedControlServer.js";
import { controlLinkPortOffset } from "../../../connection/hosted/linkMessages.js";
import { MetricsServer } from "../../../connection/metrics/metricsServer.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { describeFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import { DisposableStore } from "../../../util/disposableStore.js";
import { MedianClock } from "../../../util/medianClock.js";
import { listen, splitAddress } from "../../../util/socketAddress.js";
import { SuspensionWatch } from "../../../util/suspensionWatch.js";
import type { DeployedService } from "../../../version/deployment.js";
import { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { HttpLeasedCaller } from "../../platform/httpLeasedCaller.js";
import { runWhileLeading } from "../../platform/platformDuties.js";
import { FileLogStorage } from "../../replicatedLog/fileLogStorage.js";
import { defaultLogTiming } from "../../replicatedLog/logTiming.js";
import type { ReplicatedLog } from "../../replicatedLog/replicatedLog.js";
import type { HostedProcess } from "../hostedProcess.js";
import type { HostedSettings } from "../hostedSettings.js";
import { startMetrics } from "../startMetrics.js";
import { DocumentService } from "./documentService.js";
import { DutyLease } from "./dutyLease.js";
import { EndpointWatch } from "./endpointListPoller.js";
import { EntryRegistry } from "./entryRegistry.js";
import { openHostedLog } from "./hostedLog.js";
import type { OpenStorage } from "./hostedLog.js";
import { HostedState } from "./hostedState.js";
import type { HostedCommand, HostedOutcome } from "./hostedState.js";
import { OrderDuty } from "./orderDuty.js";
import { PresenceLinks } from "./presenceLinks.js";
import { SharedConfirmation } from "./sharedConfirmation.js";
import { UsageDuty } from "./usageDuty.js";

/** Pause before the log is opened again after its disk or network failed. */
const openPause: Milliseconds = 500;

/** Longest time of a call to the platform; with the margin it fits into what a lease leaves. */
const callTimeLimit: Milliseconds = 350;

/** What must be left of the lease beyond the time limit of a call. */
const leaseMargin: Milliseconds = 50;

/** Usage windows for which counts are kept, the present one not counted; a window is sealed long before. */
const keptWindows = 14;

type HostedLog = ReplicatedLog<HostedCommand, HostedOutcome>;

/** A control process of a hosted installation: keeps the configuration, leads entries to it, and acts for all. */
export class HostedControlProcess implements HostedProcess {
    private readonly store = new DisposableStore();
    private readonly stopping = new AbortController();
    private readonly links = new Set<EntryLink>();
    private readonly registry = new EntryRegistry(() => {
        this.tellPresence();
    });
    private readonly medianClock = new MedianClock();
    private readonly suspension: SuspensionWatch;
    private knownServices: readonly DeployedService[] = [];
    private servicesVersion = 0;
    private pushing: NodeJS.Immediate | undefined;
    private tellingPresence: NodeJS.Immediate | undefined;
    private readonly state = new HostedState(() => {
        // Changes that are applied together are told as one: entries need the newest alone.
        this.pushing ??= setImmediate(() => {
            this.pushing = undefined;
            this.links.forEach(link => {
                link.pushDocument();
            });
        });
    });

    constructor(
        private readonly settings: () => HostedSettings,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
        private readonly openStorage: OpenStorage = folder => FileLogStorage.open(folder),
    ) {
        this.suspension = new SuspensionWatch(clock);
    }

    /** Starts to serve; resolves when all addresses are listened on. */
    async start(): Promise<void> {
        const log = await this.openLog();
        if (log === undefined) {
            return;
        }
        const { operatorAddress = "", resolutionAddress } = this.settings();
        const { state, clock, eventLog, registry } = this;
        const confirmation = new SharedConfirmation(log, state, clock);
        const documents = new DocumentService({ log, state, confirmation, clock, eventLog, operatorAddress });
        const watch = this.watchEndpoints(log);
        await this.listenForEntries(log, confirmation, watch);
        for (const address of [operatorAddress, resolutionAddress]) {
            if (address !== undefined && address !== "") {
                await this.serve(
                    createHostedControlServer({
                        documents,
                        registry,
                        clock,
                        eventLog,
                        longestTimeToLive: this.settings().bounds.resolutionTimeToLive,
                    }),
                    address,
                );
            }
        }
        await this.serveMetrics(log, watch);
        this.runDuties(log, watch);
        void this.forgetOldCounts();
    }

    applySettings(): void {
        // Each use reads the settings in force; members learn of each other from the log.
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        await this.store.dispose();
    }

    /** Opens the log; tries again while the disk or the address cannot be used. */
    private async openLog(): Promise<HostedLog | undefined> {
        const { state, clock, eventLog, store, openStorage } = this;
        while (!this.stopping.signal.aborted) {
            const opened = await openHostedLog({
                settings: this.settings(),
                state,
                clock,
                eventLog,
                store,
                openStorage,
            });
            if (opened.ok) {
                return opened.val;
            }
            eventLog.write("taskFailed", { task: "openLog", reason: describeFailure(opened.val) });
            await clock.sleep(openPause, this.stopping.signal);
        }
        return undefined;
    }

    private watchEndpoints(log: HostedLog): EndpointWatch {
        const { clock, eventLog } = this;
        const watch = new EndpointWatch({
            platformAddress: this.settings().platform.address,
            callsPerSecond: this.settings().platform.listCallsPerSecond,
            clock,
            eventLog,
            isReader: () => log.leadingTerm() !== undefined || log.leaderAddress() === undefined,
            onChange: () => {
                this.links.forEach(link => {
                    link.pushEndpoints();
                });
            },
        });
        void watch.run(this.stopping.signal);
        return watch;
    }

    private async listenForEntries(
        log: HostedLog,
        confirmation: SharedConfirmation,
        watch: EndpointWatch,
    ): Promise<void> {
        const { clock, eventLog, medianClock, registry, state } = this;
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
            endpoints: () => watch.reading,
            confirmVersion: () => confirmation.version(),
            isLeader: () => log.leadingTerm() !== undefined,
            controlHosts: memberHosts,
            leaderHost,
        };
        const server = createServer(socket => {
            const link = new EntryLink(socket, context);
            this.links.add(link);
            void link.run().finally(() => this.links.delete(link));
        });
        this.store.defer(() => {
            this.links.forEach(link => {
                link.close();
            });
        });
        const { name, host, firstInternalPort } = this.settings();
        const port = firstInternalPort + controlLinkPortOffset;
        await this.serve(server, `${host}:${port}`);
        const observed = new PresenceLinks({ control: name, host, port, clock, eventLog, registry, memberHosts });
        void observed.run(this.stopping.signal, () => {
            this.tellPresence();
        });
    }

    /** Tells the other control processes which entries are linked to this one; changes of one moment go together. */
    private tellPresence(): void {
        this.tellingPresence ??= setImmediate(() => {
            this.tellingPresence = undefined;
            this.links.forEach(link => {
                link.pushPresence();
            });
        });
    }

    private async serveMetrics(log: HostedLog, watch: EndpointWatch): Promise<void> {
        const { state, registry, clock } = this;
        const figures = (): Readonly<Record<string, number>> => {
            const { term, role, commitPosition, membership } = log.status();
            return {
                term,
                leading: role === "leader" ? 1 : 0,
                commit_position: commitPosition,
                members: membership.members.length,
                version: state.version,
                entries: registry.count(clock.now()),
                endpoints: watch.reading?.endpoints.length ?? 0,
            };
        };
        const metrics = this.store.add(
            new MetricsServer({
                exposition: () => {
                    const writer = new ExpositionWriter();
                    for (const [name, value] of Object.entries(figures())) {
                        writer.family(`gullhall_${name}`, "gauge", `The process's ${name.replace("_", " ")}.`);
                        writer.sample(`gullhall_${name}`, {}, value);
                    }
                    return writer.toString();
                },
                state: figures,
            }),
        );
        await startMetrics(metrics, this.settings().host, this.eventLog);
    }

    /** The services of the configuration in force; read anew only after a change. */
    private services(): readonly DeployedService[] {
        const { document } = this.state;
        if (document !== undefined && document.version !== this.servicesVersion) {
            const read = readDesiredState(inflateRawSync(document.body));
            this.servicesVersion = document.version;
            this.knownServices = read.ok ? read.val.services : [];
        }
        return this.knownServices;
    }

    private async serve(server: Server, address: string): Promise<void> {
        const sockets = new Set<Socket>();
        server.on("connection", (socket: Socket) => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        });
        this.store.defer(() => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        await listen(server, address);
    }

    /** Drops old counts on every control process: each of them may lead next, and none may grow without bound. */
    private async forgetOldCounts(): Promise<void> {
        const { clock, medianClock, registry, stopping: { signal } } = this;
        const { usageWindow } = this.settings().bounds;
        while (!signal.aborted) {
            await clock.sleep(usageWindow, signal);
            const present = Math.floor(medianClock.unixAt(clock) / usageWindow);
            registry.forgetBefore(present - keptWindows, clock.now());
        }
    }

    /** Acts towards the platform whenever this process leads. */
    private runDuties(log: HostedLog, watch: EndpointWatch): void {
        const { state, registry, clock, eventLog, medianClock, suspension } = this;
        const { name, bounds, platform } = this.settings();
        const duty = new DutyLease(log, suspension, bounds.dutyTurn, defaultLogTiming.leaseDuration);
        const lease = { lease: (now: Milliseconds, room: Milliseconds) => duty.token(now, room) };
        const caller = new HttpLeasedCaller(lease, clock, callTimeLimit, leaseMargin);
        const usage = new UsageDuty({
            holder: name,
            platformAddress: platform.address,
            windowLength: bounds.usageWindow,
            log,
            state,
            registry,
            caller,
            clock,
            unixNow: () => medianClock.unixAt(clock),
            eventLog,
        });
        void runWhileLeading(log, clock, term => {
            duty.enterTerm(term, clock.now());
            const orders = new OrderDuty({
                holder: name,
                platformAddress: platform.address,
                services: () => this.services(),
                endpoints: () => watch.reading?.endpoints,
                workOf: service => {
                    const { long, other } = registry.work(clock.now())[service] ?? { long: 0, other: 0 };
                    return long + other;
                },
                caller,
                clock,
                eventLog,
            });
            return [
                ...platform.reportsUsage ? [(signal: AbortSignal) => usage.run(signal)] : [],
                ...platform.ordersEndpoints ? [(signal: AbortSignal) => orders.run(signal)] : [],
            ];
        }, this.stopping.signal);
    }
}
