import { join } from "node:path";
import { TcpPeerNetwork } from "../../../src/connection/tcpPeerNetwork.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { FileLogStorage } from "../../../src/process/replicatedLog/fileLogStorage.js";
import { defaultLogTiming } from "../../../src/process/replicatedLog/logTiming.js";
import { loadIdentity } from "../../../src/process/replicatedLog/memberIdentity.js";
import { ReplicatedLog } from "../../../src/process/replicatedLog/replicatedLog.js";
import { SystemClock } from "../../../src/util/clock.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { CommandRecorder } from "./commandRecorder.js";

/** A member over real sockets and files. */
export interface TcpMember {
    readonly log: ReplicatedLog<string, number>;
    readonly recorder: CommandRecorder;
    readonly close: () => Promise<void>;
}

/** Takes `count` free loopback addresses. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
    const networks = await Promise.all(Array.from({ length: count }, async () => listen("127.0.0.1:0", "probe")));
    const addresses = networks.map(network => `127.0.0.1:${network.port}`);
    await Promise.all(networks.map(async network => network.close()));
    return addresses;
}

/** Starts the member whose address stands at an index, with its files below a folder. */
export async function startTcpMember(
    folder: string,
    addresses: readonly string[],
    index: number,
    snapshotInterval = 1000,
): Promise<TcpMember> {
    const address = addresses[index] ?? "";
    const storage = (await FileLogStorage.open(join(folder, String(index)))).unwrap();
    const identity = (await loadIdentity(storage, "test")).unwrap();
    const network = await listen(address, identity.memberId);
    const recorder = new CommandRecorder();
    const log = (await ReplicatedLog.open({
        group: "main",
        storage,
        identity,
        network,
        machine: recorder,
        address,
        operatorAddress: `operator-${index}`,
        expectedAddresses: addresses,
        timing: defaultLogTiming,
        clock: new SystemClock(),
        random: new RandomSource(index),
        events: new EventLog("test", "hidden"),
        snapshotInterval,
        retainedEntries: 10,
    })).unwrap();
    const close = async (): Promise<void> => {
        await log.close();
        await network.close();
        await storage.close();
    };
    return { log, recorder, close };
}

/** Waits until one of the members leads and has committed an entry of its term. */
export async function leaderOf(members: readonly TcpMember[]): Promise<TcpMember> {
    for (;;) {
        const leader = members.find(member => member.log.status().role === "leader");
        if (leader !== undefined && (await leader.log.confirmPosition()).ok) {
            return leader;
        }
        await new SystemClock().sleep(10);
    }
}

async function listen(address: string, memberId: string): Promise<TcpPeerNetwork> {
    return (await TcpPeerNetwork.listen({
        address,
        identity: { cluster: "test", memberId },
        security: { kind: "plainOnLoopback" },
        events: new EventLog("test", "hidden"),
    })).unwrap();
}
