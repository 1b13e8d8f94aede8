import { describe, it } from "../../describe.js";
import { VirtualCluster } from "./virtualCluster.js";

/** Virtual time in which a group forms, elects a leader and catches up. */
const settlingMilliseconds = 6_000;

/** Virtual time within which a change that a quorum can write is acknowledged. */
const acknowledgementMilliseconds = 4_000;

/** Virtual time between two proposals. */
const proposalInterval = 500;

async function startCluster(size: number, seed: number): Promise<VirtualCluster> {
    const cluster = new VirtualCluster(size, seed);
    for (const slot of cluster.disks.keys()) {
        cluster.start(slot);
    }
    await cluster.run(settlingMilliseconds);
    return cluster;
}

/** Proposes commands at the leader for a time; returns how many were committed. */
async function proposeFor(cluster: VirtualCluster, milliseconds: number): Promise<number> {
    let committed = 0;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += proposalInterval) {
        cluster.propose(cluster.leaderSlot ?? 0, () => {
            committed++;
        });
        await cluster.run(proposalInterval);
    }
    return committed;
}

/** How the disks of a cluster fill up, one after the other. */
interface DiskSeries {
    readonly size: number;
    readonly fullFor: number;
    readonly pause: number;
    readonly seeds: readonly number[];
}

const series: readonly DiskSeries[] = [
    { size: 3, fullFor: 3_000, pause: 0, seeds: seedsFrom(500, 16) },
    { size: 3, fullFor: 3_000, pause: 500, seeds: seedsFrom(520, 16) },
    { size: 5, fullFor: 3_000, pause: 0, seeds: seedsFrom(540, 12) },
    { size: 5, fullFor: 6_000, pause: 1_000, seeds: seedsFrom(560, 4) },
    { size: 7, fullFor: 3_000, pause: 500, seeds: seedsFrom(570, 4) },
];

function seedsFrom(first: number, count: number): readonly number[] {
    return Array.from(Array(count).keys(), index => first + index);
}

describe("ReplicatedLog on full disks", () => {
    // Guards against a leader that rolls back an entry which the other members have committed, and then halts.
    it("keeps its leader as a member when its disk refuses what the others have committed", async t => {
        for (const seed of seedsFrom(400, 5)) {
            const cluster = await startCluster(3, seed);
            const leader = cluster.leaderSlot ?? 0;
            cluster.setMinimumLatency(leader, 300);
            cluster.setFull(leader, true);
            cluster.propose(leader);
            await cluster.run(settlingMilliseconds);
            cluster.setMinimumLatency(leader, 0);
            cluster.setFull(leader, false);
            cluster.propose(cluster.leaderSlot ?? leader);
            await cluster.run(settlingMilliseconds);
            t.deepEqual([cluster.violations, cluster.hasConverged], [[], true], `seed ${seed}`);
        }
    });

    // Guards against changes that wait for the disk of one leader while a majority of the disks can write.
    it("changes its leader when the leader's disk does not complete a write", async t => {
        for (const seed of seedsFrom(410, 5)) {
            const cluster = await startCluster(3, seed);
            const leader = cluster.leaderSlot ?? 0;
            cluster.setMinimumLatency(leader, 20_000);
            cluster.propose(leader);
            await cluster.run(acknowledgementMilliseconds);
            t.is(await proposeFor(cluster, 3 * proposalInterval), 3, `seed ${seed}`);
            cluster.setMinimumLatency(leader, 0);
            await cluster.run(20_000 + settlingMilliseconds);
            t.deepEqual([cluster.violations, cluster.hasConverged], [[], true], `seed ${seed}`);
        }
    });

    for (const { size, fullFor, pause, seeds } of series) {
        // Guards against members that stay halted after their disks were full, until the group lacks a quorum.
        it(`commits again after ${size} disks were full in turn, ${fullFor} ms each, ${pause} ms apart`, async t => {
            for (const seed of seeds) {
                const cluster = await startCluster(size, seed);
                for (const slot of cluster.disks.keys()) {
                    cluster.setFull(slot, true);
                    await proposeFor(cluster, fullFor);
                    cluster.setFull(slot, false);
                    await proposeFor(cluster, pause);
                }
                await cluster.run(settlingMilliseconds);
                const committed = await proposeFor(cluster, 3 * proposalInterval);
                await cluster.run(settlingMilliseconds);
                t.deepEqual([cluster.violations, cluster.hasConverged, committed], [[], true, 3], `seed ${seed}`);
            }
        });
    }
});
