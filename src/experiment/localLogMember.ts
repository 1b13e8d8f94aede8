import { join } from "node:path";
import { TcpPeerNetwork } from "../connection/tcpPeerNetwork.js";
import { EventLog } from "../logEvent/eventLog.js";
import type { StateMachine } from "../process/replicatedLog/commandLog.js";
import { FileLogStorage } from "../process/replicatedLog/fileLogStorage.js";
import { defaultLogTiming } from "../process/replicatedLog/logTiming.js";
import { loadIdentity } from "../process/replicatedLog/memberIdentity.js";
import { ReplicatedLog } from "../process/replicatedLog/replicatedLog.js";
import { SystemClock } from "../util/clock.js";
import { RandomSource } from "../util/randomSource.js";

/** Interval between polls for a leader, in milliseconds. */
const leaderPollInterval = 2;

const cluster = "local";
const events = new EventLog("local", "hidden");

/** Storage and addresses of the members of a local group. */
export interface LocalGroup {
    /** Folder that contains one subfolder per member. */
    readonly folder: string;
    /** Loopback addresses of the members, by index. */
    readonly addresses: readonly string[];
    /** Number of log entries between snapshots. */
    readonly snapshotInterval: number;
}

/** A member of a log group in this process, with TCP connections on the loopback interface and file storage. */
export class LocalLogMember<Machine extends StateMachine<string, number>> {
    private constructor(
        readonly log: ReplicatedLog<string, number>,
        readonly machine: Machine,
        private readonly network: TcpPeerNetwork,
        private readonly storage: FileLogStorage,
    ) {}

    /** Finds free loopback addresses by listening on ephemeral ports and closing them again. */
    static async findFreeAddresses(count: number): Promise<readonly string[]> {
        const probes = await Promise.all([...Array(count).keys()].map(async () => listen("127.0.0.1:0", "probe")));
        const addresses = probes.map(network => `127.0.0.1:${network.port}`);
        await Promise.all(probes.map(async network => network.close()));
        return addresses;
    }

    /** Starts the member with the given index in the group. */
    static async start<Machine extends StateMachine<string, number>>(
        group: LocalGroup,
        index: number,
        machine: Machine,
    ): Promise<LocalLogMember<Machine>> {
        const address = group.addresses[index] ?? "";
        const storage = (await FileLogStorage.open(join(group.folder, String(index)))).unwrap();
        const identity = (await loadIdentity(storage, cluster)).unwrap();
        const network = await listen(address, identity.memberId);
        const log = (await ReplicatedLog.open({
            group: "main",
            storage,
            identity,
            network,
            stateMachine: machine,
            address,
            operatorAddress: `operator-${index}`,
            expectedAddresses: group.addresses,
            timing: defaultLogTiming,
            clock: new SystemClock(),
            random: new RandomSource(index),
            events,
            snapshotInterval: group.snapshotInterval,
            retainedEntries: 10,
        })).unwrap();
        return new LocalLogMember(log, machine, network, storage);
    }

    /** Waits for a member that leads with a confirmed quorum. */
    static async waitForLeader<Machine extends StateMachine<string, number>>(
        members: readonly LocalLogMember<Machine>[],
    ): Promise<LocalLogMember<Machine>> {
        for (;;) {
            const leader = members.find(member => member.log.status().role === "leader");
            if (leader !== undefined && (await leader.log.confirmPosition()).ok) {
                return leader;
            }
            await new SystemClock().sleep(leaderPollInterval);
        }
    }

    /** Stops gracefully: transfers leadership, then closes the connections and the storage. */
    async stop(): Promise<void> {
        await this.log.close();
        await this.network.close();
        await this.storage.close();
    }

    /** Closes all connections and the listener without notice to the others; {@link stop} must still be called. */
    async disconnect(): Promise<void> {
        await this.network.close();
    }
}

async function listen(address: string, memberId: string): Promise<TcpPeerNetwork> {
    return (await TcpPeerNetwork.listen({
        address,
        identity: { cluster, memberId },
        security: { kind: "plainOnLoopback" },
        events,
    })).unwrap();
}
