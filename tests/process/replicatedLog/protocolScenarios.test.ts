import { defaultLogTiming } from "../../../src/process/replicatedLog/logTiming.js";
import { describe, it } from "../../describe.js";
import { VirtualCluster } from "./virtualCluster.js";

/** Virtual time in which a group forms, elects a leader and obtains the lease. */
const settlingMilliseconds = 6000;

async function startCluster(seed: number): Promise<{ readonly cluster: VirtualCluster; readonly leader: number; }> {
    const cluster = new VirtualCluster(3, seed);
    for (const slot of cluster.disks.keys()) {
        cluster.start(slot);
    }
    await cluster.run(settlingMilliseconds);
    return { cluster, leader: cluster.leaderSlot ?? 0 };
}

/** Blocks or unblocks all network links of a member. */
function isolate(cluster: VirtualCluster, slot: number, blocked = true): void {
    for (const other of cluster.disks.keys()) {
        cluster.setBlocked(slot, other, blocked);
        cluster.setBlocked(other, slot, blocked);
    }
}

describe("ReplicatedLog", () => {
    it("starts the lease when the heartbeat is sent, not when its response arrives", async t => {
        const { cluster, leader } = await startCluster(1);
        const oneWayDelayMilliseconds = 80;
        cluster.links.minimumDelayMilliseconds = oneWayDelayMilliseconds;
        await cluster.run(3000);
        const holdsLease = (): boolean => {
            const member = cluster.members[leader];
            return member?.log?.lease(member.clock.now(), 0) !== undefined;
        };
        t.true(holdsLease());
        isolate(cluster, leader);
        await cluster.run(defaultLogTiming.leaseDuration - 2 * oneWayDelayMilliseconds + 10);
        t.false(holdsLease());
        t.deepEqual(cluster.violations, []);
    });

    it("does not count the leader's own log towards a quorum before it is durable", async t => {
        const { cluster, leader } = await startCluster(2);
        isolate(cluster, (leader + 1) % 3);
        cluster.setStalled(leader, true);
        const before = cluster.acknowledgedPosition;
        cluster.propose(leader);
        await cluster.run(500);
        t.is(cluster.acknowledgedPosition, before);
        t.is(cluster.members[(leader + 2) % 3]?.log?.status().lastPosition, 3);
    });

    it("refuses a membership change while another one is pending", async t => {
        const { cluster, leader } = await startCluster(3);
        const log = cluster.members[leader]?.log;
        const [first, second] = [1, 2].map(step => cluster.members[(leader + step) % 3]?.log?.status().memberId ?? "");
        isolate(cluster, leader);
        const codes: (string | undefined)[] = [];
        for (const memberId of [first ?? "", second ?? ""]) {
            void log?.changeMembership({ kind: "remove", memberId }).then(changed => {
                codes.push(changed.err ? changed.val.code : undefined);
            });
            await cluster.run(50);
        }
        t.deepEqual(codes, ["membershipChangeRefused"]);
    });

    it("halts a member that restarts with an older copy of its disk", async t => {
        const { cluster, leader } = await startCluster(4);
        const slot = (leader + 1) % 3;
        const disk = cluster.disks[slot];
        const image = disk?.image() ?? new Map<string, Buffer>();
        for (let round = 0; round < 5; round += 1) {
            cluster.propose(leader);
            await cluster.run(300);
        }
        cluster.crash(slot);
        disk?.restore(image);
        cluster.start(slot);
        await cluster.run(100);
        t.is(cluster.members[slot]?.log?.status().halted?.code, "logFolderOutdated");
    });

    it("readmits a member that was removed while it was isolated", async t => {
        for (let seed = 10; seed < 20; seed++) {
            const { cluster, leader } = await startCluster(seed);
            const slot = (leader + 1) % 3;
            const memberId = cluster.members[slot]?.log?.status().memberId ?? "";
            isolate(cluster, slot);
            await cluster.run(300);
            void cluster.members[leader]?.log?.changeMembership({ kind: "remove", memberId });
            await cluster.run(settlingMilliseconds);
            isolate(cluster, slot, false);
            cluster.propose(leader);
            await cluster.run(2 * settlingMilliseconds);
            const members = cluster.members[leader]?.log?.status().membership.members ?? [];
            t.is(members.find(member => member.memberId === memberId)?.role, "voter", `seed ${seed}`);
            t.deepEqual([cluster.violations, cluster.hasConverged], [[], true], `seed ${seed}`);
        }
    });

    it("catches up after its disk was full while the other members committed", async t => {
        for (let seed = 30; seed < 40; seed++) {
            const { cluster, leader } = await startCluster(seed);
            const slot = (leader + 1) % 3;
            cluster.setFull(slot, true);
            cluster.propose(leader);
            await cluster.run(settlingMilliseconds);
            cluster.setFull(slot, false);
            cluster.propose(leader);
            await cluster.run(settlingMilliseconds);
            t.deepEqual([cluster.violations, cluster.hasConverged], [[], true], `seed ${seed}`);
        }
    });

    it("steps down as leader when its disk is full, and loses no committed command", async t => {
        const { cluster, leader } = await startCluster(5);
        cluster.propose(leader);
        await cluster.run(300);
        cluster.setFull(leader, true);
        cluster.propose(leader);
        await cluster.run(settlingMilliseconds);
        t.not(cluster.leaderSlot, leader);
        cluster.propose(cluster.leaderSlot ?? leader);
        cluster.setFull(leader, false);
        await cluster.run(settlingMilliseconds);
        const commands = cluster.commandsOf(leader);
        t.deepEqual([cluster.violations, cluster.hasConverged], [[], true]);
        t.deepEqual([commands[0], commands.at(-1)], ["command-1", "command-3"]);
    });
});
