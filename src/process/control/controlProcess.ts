import { createServer } from "node:net";
import type { Socket } from "node:net";
import { EntryConnection } from "../../connection/control/entryConnection.js";
import type { EntryConnectionContext } from "../../connection/control/entryConnection.js";
import { OperatorServer } from "../../connection/control/operatorServer.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { ControlSettings } from "../../settings/controlSettings.js";
import type { Clock } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { listen } from "../../util/socketAddress.js";
import { WakeUp } from "../../util/wakeUp.js";
import { VolatileCommandLog } from "../replicatedLog/volatileCommandLog.js";
import { ControlState } from "../state/controlState.js";
import { ConfigurationService } from "./configurationService.js";
import { EntryTable } from "./entryTable.js";

/** The addresses at which a control process serves. */
export interface ControlAddresses {
    readonly operatorAddress: string;
    readonly entryAddress: string;
}

/** A control process: holds the replicated state, answers operators and serves entries. */
export class ControlProcess implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private readonly applied = new WakeUp();
    private readonly entries = new EntryTable();
    private readonly state = new ControlState(() => {
        this.applied.wake();
    });

    constructor(
        private readonly settings: ControlSettings,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
    ) {}

    /** Starts to serve; resolves with the bound addresses. */
    async start(): Promise<ControlAddresses> {
        const { settings, clock, eventLog, state, entries, applied } = this;
        const commandLog = new VolatileCommandLog(state);
        const configuration = new ConfigurationService({ state, commandLog, clock, eventLog });
        const operatorServer = new OperatorServer({ settings, clock, state, configuration, entries, commandLog });
        const operatorAddress = await this.store.add(operatorServer).start();
        const entryAddress = await this.listenForEntries({
            cluster: settings.cluster,
            clock,
            eventLog,
            state,
            commandLog,
            entries,
            applied,
            leaderEntryAddress: () => undefined,
        });
        return { operatorAddress, entryAddress };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private listenForEntries(context: EntryConnectionContext): Promise<string> {
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
            void new EntryConnection(socket, context).run();
        });
        this.store.defer(() => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        return listen(server, this.settings.entryAddress);
    }
}
