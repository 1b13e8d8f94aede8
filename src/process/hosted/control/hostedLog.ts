import { randomInt } from "node:crypto";
import { peerPortOffset } from "../../../connection/hosted/linkMessages.js";
import { TcpPeerNetwork } from "../../../connection/tcpPeerNetwork.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { failure } from "../../../resultCode/resultCode.js";
import type { Failure } from "../../../resultCode/resultCode.js";
import type { Clock } from "../../../util/clock.js";
import type { DisposableStore } from "../../../util/disposableStore.js";
import { RandomSource } from "../../../util/randomSource.js";
import { Err } from "../../../util/result.js";
import type { Result } from "../../../util/result.js";
import { splitAddress } from "../../../util/socketAddress.js";
import type { DiskSpace } from "../../replicatedLog/diskSpace.js";
import type { LogStorage } from "../../replicatedLog/logStorage.js";
import { defaultLogTiming } from "../../replicatedLog/logTiming.js";
import { loadIdentity } from "../../replicatedLog/memberIdentity.js";
import { ReplicatedLog } from "../../replicatedLog/replicatedLog.js";
import type { HostedSettings } from "../hostedSettings.js";
import type { HostedCommand, HostedOutcome, HostedState } from "./hostedState.js";

/** Cluster name in the identity stored on disk; an installation has a single group of control processes. */
const clusterName = "hosted";

const logGroup = "main";

/** Log entries between two snapshots; few, because each entry may hold a complete configuration. */
const snapshotInterval = 64;

/** Log entries kept after a snapshot, for members that lag slightly behind. */
const retainedEntries = 16;

/** Upper bound (exclusive) of the seed of the random election timeouts. */
const seedLimit = 2 ** 31;

/** Options of {@link openHostedLog}. */
export interface HostedLogOptions {
    readonly settings: HostedSettings;
    readonly state: HostedState;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Takes ownership of the opened resources. */
    readonly disposables: DisposableStore;
    readonly openStorage: (folder: string) => Promise<Result<LogStorage, Failure>>;
}

/** Opens the storage in a folder; it reports there when its disk is full. */
export type OpenStorage = (folder: string, diskSpace: DiskSpace) => Promise<Result<LogStorage, Failure>>;

/**
 * Opens the replicated log with its storage in the data folder and its peer network.
 *
 * Fails with `startFailed` without a data folder, else with the failure of the storage, the identity, the network or
 * the log; whatever was opened before is closed again.
 */
export async function openHostedLog(
    options: HostedLogOptions,
): Promise<Result<ReplicatedLog<HostedCommand, HostedOutcome>, Failure>> {
    const { settings, state, clock, eventLog, disposables, openStorage } = options;
    if (settings.dataFolder === undefined) {
        return Err(failure("startFailed", { reason: "the settings contain no data folder" }));
    }
    const storage = await openStorage(settings.dataFolder);
    if (storage.err) {
        return storage;
    }
    const identity = await loadIdentity(storage.val, clusterName);
    if (identity.err) {
        await storage.val.close();
        return identity;
    }
    const peerPort = settings.firstInternalPort + peerPortOffset;
    const address = `${settings.host}:${peerPort}`;
    const network = await TcpPeerNetwork.listen({
        address,
        identity: identity.val,
        security: { kind: "plainWithoutProof" },
        events: eventLog,
    });
    if (network.err) {
        await storage.val.close();
        return network;
    }
    const log = await ReplicatedLog.open({
        group: logGroup,
        storage: storage.val,
        identity: identity.val,
        network: network.val,
        stateMachine: state,
        address,
        operatorAddress: settings.operatorAddress ?? "",
        expectedAddresses: settings.seedOperatorAddresses.map(seed => `${splitAddress(seed).host}:${peerPort}`),
        admitsUnlisted: true,
        toleratedLosses: settings.toleratedLosses,
        mayFormGroup: settings.isFirstStart,
        timing: defaultLogTiming,
        clock,
        random: new RandomSource(randomInt(seedLimit)),
        events: eventLog,
        snapshotInterval,
        retainedEntries,
    });
    if (log.err) {
        await network.val.close();
        await storage.val.close();
        return log;
    }
    disposables.defer(() => storage.val.close());
    disposables.defer(() => network.val.close());
    disposables.defer(() => log.val.close());
    return log;
}
