import { createServer } from "node:net";
import type { Socket } from "node:net";
import { EntryConnection } from "../../connection/control/entryConnection.js";
import type { EntryConnectionContext } from "../../connection/control/entryConnection.js";
import { OperatorServer } from "../../connection/control/operatorServer.js";
import { MetricsServer } from "../../connection/metrics/metricsServer.js";
import { HttpListeners } from "../../connection/server/httpListeners.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import { formatFailure } from "../../resultCode/resultCode.js";
import type { ControlSettings } from "../../settings/controlSettings.js";
import type { Clock } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { listen } from "../../util/socketAddress.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { emptyConfiguration } from "../../version/configurationChange.js";
import type { Limits } from "../../version/manifest.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ReplicatedLog } from "../replicatedLog/replicatedLog.js";
import { ControlProposer } from "../state/controlProposer.js";
import { ControlState } from "../state/controlState.js";
import type { ControlCommand, ControlOutcome } from "../state/controlState.js";
import { ConfigurationService } from "./configurationService.js";
import { getOwnAddresses, openControlLog } from "./controlLog.js";
import type { ControlAddresses } from "./controlLog.js";
import { renderControlMetrics } from "./controlMetrics.js";
import { createControlStateReport } from "./controlStateReport.js";
import { CrashedRequestLedger } from "./crashedRequestLedger.js";
import { EntryTable } from "./entryTable.js";
import { InForceMonitor } from "./inForceMonitor.js";
import { runLeaderDuties } from "./leaderDuties.js";
import type { LeaderDutyContext } from "./leaderDuties.js";
import { LimitAllocator } from "./limitAllocator.js";
import { PoolSummaryAggregator } from "./poolSummaryAggregator.js";
import { runUsageReporting } from "./usageReporting.js";

/** A control process: maintains the replicated state, serves operator requests and entry connections. */
export class ControlProcess implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private readonly commandApplied = new ConditionVariable();
    private readonly entries = new EntryTable();
    private compiledConfiguration = new CompiledConfiguration(emptyConfiguration);
    private readonly state = new ControlState(() => {
        this.commandApplied.notifyAll();
    });
    private readonly inForceMonitor = new InForceMonitor(this.entries, () => this.state.usage.incarnations.running());

    private readonly listeners: HttpListeners;

    constructor(
        private readonly settings: ControlSettings,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
    ) {
        this.listeners = new HttpListeners(settings.connectionLimits, clock, eventLog);
    }

    /**
     * Opens the replicated log and starts the servers and the leader's duties.
     *
     * Resolves with the addresses; rejects if the log cannot be opened or an address cannot be used.
     */
    async start(): Promise<ControlAddresses & { readonly metricsAddress: string; }> {
        const { settings, clock, eventLog, state, entries, store } = this;
        const commandLog = await openControlLog({ settings, state, clock, eventLog, store });
        if (commandLog.err) {
            throw new Error(formatFailure(commandLog.val));
        }
        const addresses = getOwnAddresses(settings);
        const proposer = new ControlProposer(commandLog.val);
        await this.listenForEntries(addresses.entryAddress, {
            cluster: settings.cluster,
            clock,
            eventLog,
            state,
            commandLog: commandLog.val,
            proposer,
            entries,
            poolSummaries: new PoolSummaryAggregator(),
            limitAllocator: new LimitAllocator(
                owner => this.limitsOf(owner),
                () => entries.all(clock.now()).map(record => record.incarnation),
            ),
            crashedRequests: new CrashedRequestLedger(),
            commandApplied: this.commandApplied,
            leaderEntryAddress: () => this.leaderEntryAddress(commandLog.val),
        });
        // Closed before the server for entries, which go on being served until the operators' requests have ended.
        await this.listenForOperators(commandLog.val, proposer, addresses.operatorAddress);
        const metricsAddress = await this.listenForMetrics(commandLog.val);
        this.runDuties({ state, commandLog: commandLog.val, proposer, entries, clock });
        return { ...addresses, metricsAddress };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private listenForMetrics(log: ReplicatedLog<ControlCommand, ControlOutcome>): Promise<string> {
        const { settings, state, entries, clock, inForceMonitor } = this;
        const sources = { control: settings.name, log, state, entries, inForceMonitor };
        const server = new MetricsServer({
            exposition: () =>
                renderControlMetrics(
                    createControlStateReport(sources, clock.now()),
                    inForceMonitor.times,
                    this.listeners,
                ),
            state: () => createControlStateReport(sources, clock.now()),
        }, this.listeners);
        return this.store.add(server).start(settings.metricsAddress);
    }

    /** Reports usage to the platform until aborted, if the settings name an address for the reports. */
    private async reportUsage(context: LeaderDutyContext, stopSignal: AbortSignal): Promise<void> {
        const address = this.settings.usageReportAddress;
        if (address !== undefined) {
            await runUsageReporting({ ...context, address, eventLog: this.eventLog }, stopSignal);
        }
    }

    /** Runs the leader's recurring duties until the process stops. */
    private runDuties(context: LeaderDutyContext): void {
        const stopController = new AbortController();
        const { state, commandLog, clock } = context;
        const duties = Promise.all([
            runLeaderDuties(context, stopController.signal),
            this.reportUsage(context, stopController.signal),
            this.inForceMonitor.run(
                () => commandLog.leadingTerm(),
                () => state.configuration.current.version,
                clock,
                stopController.signal,
            ),
        ]);
        this.store.defer(async () => {
            stopController.abort();
            await duties;
        });
    }

    /** Returns the limits of a team, or of a key as `team/key`, in the current configuration. */
    private limitsOf(owner: string): Limits | undefined {
        const { current } = this.state.configuration;
        if (this.compiledConfiguration.version !== current.version) {
            this.compiledConfiguration = new CompiledConfiguration(current);
        }
        return this.compiledConfiguration.limitsOf(owner);
    }

    private leaderEntryAddress(commandLog: CommandLog<ControlCommand, ControlOutcome>): string | undefined {
        const leader = commandLog.leaderAddress();
        return this.settings.controls.find(control => control.operatorAddress === leader)?.entryAddress;
    }

    private async listenForOperators(
        commandLog: ReplicatedLog<ControlCommand, ControlOutcome>,
        proposer: ControlProposer,
        address: string,
    ): Promise<void> {
        const { settings, clock, state, entries, eventLog } = this;
        const configuration = new ConfigurationService({
            state,
            proposer,
            clock,
            eventLog,
        });
        const server = new OperatorServer({
            settings,
            clock,
            eventLog,
            state,
            configuration,
            entries,
            commandLog,
            members: commandLog,
            address,
            listeners: this.listeners,
        });
        await this.store.add(server).start();
    }

    private async listenForEntries(address: string, context: EntryConnectionContext): Promise<void> {
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
            void new EntryConnection(socket, context).run();
        });
        server.maxConnections = this.settings.connectionLimits.maximumConnections;
        this.store.defer(() => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        await listen(server, address);
    }
}
