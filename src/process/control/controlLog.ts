import { randomBytes } from "node:crypto";
import { TcpPeerNetwork } from "../../connection/tcpPeerNetwork.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { ControlSettings } from "../../settings/controlSettings.js";
import type { Clock } from "../../util/clock.js";
import type { DisposableStore } from "../../util/disposableStore.js";
import { RandomSource } from "../../util/randomSource.js";
import type { Result } from "../../util/result.js";
import { DiskSpace } from "../replicatedLog/diskSpace.js";
import { FileLogStorage } from "../replicatedLog/fileLogStorage.js";
import { defaultLogTiming } from "../replicatedLog/logTiming.js";
import { loadIdentity } from "../replicatedLog/memberIdentity.js";
import { ReplicatedLog } from "../replicatedLog/replicatedLog.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../state/controlState.js";

/** Name of the log group that replicates the whole control state. */
const logGroup = "main";

/** Number of log entries between two snapshots. */
const snapshotInterval = 10_000;

/** Number of log entries that are kept before a snapshot, so that members slightly behind need no snapshot transfer. */
const retainedEntries = 2_000;

/** Options of {@link openControlLog}. */
export interface ControlLogOptions {
    readonly settings: ControlSettings;
    readonly state: ControlState;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Receives ownership of the opened storage, network and log. */
    readonly store: DisposableStore;
}

/** The addresses of one control process, from the settings. */
export type ControlAddresses = ControlSettings["controls"][number];

/**
 * Returns the addresses of this process.
 *
 * @throws Error if the settings do not list this process.
 */
export function getOwnAddresses(settings: ControlSettings): ControlAddresses {
    const own = settings.controls.find(control => control.name === settings.name);
    if (own === undefined) {
        throw new Error(`The settings list no control process ${settings.name}.`);
    }
    return own;
}

/** Opens the replicated log with its storage in the data folder and its peer network. */
export async function openControlLog(
    options: ControlLogOptions,
): Promise<Result<ReplicatedLog<ControlCommand, ControlOutcome>, Failure>> {
    const { settings, state, clock, eventLog, store } = options;
    const { peerAddress, operatorAddress } = getOwnAddresses(settings);
    const storage = await FileLogStorage.open(settings.dataFolder, new DiskSpace(clock, eventLog));
    if (storage.err) {
        return storage;
    }
    store.defer(async () => {
        await storage.val.close();
    });
    const identity = await loadIdentity(storage.val, settings.cluster);
    if (identity.err) {
        return identity;
    }
    const security = settings.peerSecurity;
    const network = await TcpPeerNetwork.listen({
        address: peerAddress,
        identity: identity.val,
        security,
        events: eventLog,
    });
    if (network.err) {
        return network;
    }
    store.defer(() => network.val.close());
    const log = await ReplicatedLog.open({
        group: logGroup,
        storage: storage.val,
        identity: identity.val,
        network: network.val,
        stateMachine: state,
        address: peerAddress,
        operatorAddress,
        expectedAddresses: settings.controls.map(control => control.peerAddress),
        timing: defaultLogTiming,
        clock,
        random: new RandomSource(randomBytes(4).readInt32BE(0)),
        events: eventLog,
        snapshotInterval,
        retainedEntries,
    });
    if (log.ok) {
        store.defer(() => log.val.close());
    }
    return log;
}
