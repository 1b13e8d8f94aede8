import { votersOf } from "../../../src/process/replicatedLog/membership.js";
import { describe, it } from "../../describe.js";
import { VirtualCluster } from "./virtualCluster.js";

/** Virtual time in which a group forms and admits all members that run. */
const settlingMilliseconds = 8000;

/** Virtual time after which members that have left are no longer voters. */
const departureMilliseconds = 15_000;

/** Virtual time in which a VM that lost its disk is back. */
const restartMilliseconds = 3000;

/** Virtual time after which a VM that is back no longer counts as lost. */
const catchUpMilliseconds = 4000;

/** One-way delay with which a response takes longer than the interval at which the leader checks its members. */
const slowLinkMilliseconds = 80;

/** Starts a group that bears the loss of one VM in the first slots of a cluster. */
async function startGroup(size: number, started: number, seed: number): Promise<VirtualCluster> {
    const toleratedLosses = { vms: 1, fraction: 0 };
    const cluster = new VirtualCluster(size, seed, { listedSlots: [0, 1, 2], toleratedLosses });
    await startSlots(cluster, 0, started);
    return cluster;
}

async function startSlots(cluster: VirtualCluster, from: number, to: number): Promise<void> {
    for (let slot = from; slot < to; slot++) {
        cluster.start(slot);
    }
    await cluster.run(settlingMilliseconds);
}

/** Blocks or unblocks all network links of a slot. */
function isolate(cluster: VirtualCluster, slot: number, blocked = true): void {
    for (const other of cluster.disks.keys()) {
        cluster.setBlocked(slot, other, blocked);
        cluster.setBlocked(other, slot, blocked);
    }
}

function voterSlots(cluster: VirtualCluster): readonly number[] {
    const membership = cluster.members[cluster.leaderSlot ?? -1]?.log?.status().membership ?? { members: [] };
    return votersOf(membership).map(({ address }) => Number(address.replace("member-", ""))).sort((a, b) => a - b);
}

/** Proposes a command, and resolves to whether it is committed. */
async function commits(cluster: VirtualCluster): Promise<boolean> {
    const progress = { committed: false };
    cluster.propose(cluster.leaderSlot ?? 0, () => {
        progress.committed = true;
    });
    await cluster.run(2000);
    return progress.committed;
}

describe("ReplicatedLog with members that join and leave by themselves", () => {
    describe("voters that have left for good", () => {
        const replacements: readonly { readonly title: string; readonly added: number; readonly gap: number; }[] = [
            { title: "one by one", added: 3, gap: departureMilliseconds },
            { title: "within seconds", added: 3, gap: 1000 },
            { title: "at once", added: 2, gap: 0 },
            { title: "one by one, as many as there were", added: 5, gap: departureMilliseconds },
        ];
        for (const { title, added, gap } of replacements) {
            // Guards against voters that stay in the group for ever once their successors came first (review/1).
            it(`leave the group when they go ${title} after their successors came, and a disk may be lost`, async t => {
                for (let seed = 1; seed <= 5; seed++) {
                    const cluster = await startGroup(5 + added, 5, seed);
                    await startSlots(cluster, 5, 5 + added);
                    t.is(voterSlots(cluster).length, 5 + added, `seed ${seed}`);
                    for (let slot = 0; slot < added; slot++) {
                        cluster.eraseDisk(slot);
                        await cluster.run(gap);
                    }
                    await cluster.run(departureMilliseconds);
                    t.true(await commits(cluster), `seed ${seed}`);
                    Object.assign(cluster.openGroup ?? {}, { listedSlots: [added, added + 1, added + 2] });
                    cluster.eraseDisk(added);
                    await cluster.run(restartMilliseconds);
                    cluster.start(added);
                    await cluster.run(departureMilliseconds);
                    t.true(await commits(cluster), `seed ${seed}`);
                    const remaining = [0, 1, 2, 3, 4].map(index => added + index);
                    t.deepEqual([voterSlots(cluster), cluster.violations], [remaining, []], `seed ${seed}`);
                }
            });
        }

        // Guards against a group that bears no further loss after voters left before their successors came.
        it("leave the group when they go first, and the group bears a further loss", async t => {
            const cluster = await startGroup(7, 5, 11);
            cluster.eraseDisk(0);
            cluster.eraseDisk(1);
            await cluster.run(departureMilliseconds);
            t.deepEqual(voterSlots(cluster), [2, 3, 4]);
            cluster.crash(2);
            await cluster.run(departureMilliseconds);
            t.true(await commits(cluster));
            cluster.start(2);
            await startSlots(cluster, 5, 7);
            t.deepEqual([voterSlots(cluster), cluster.violations], [[2, 3, 4, 5, 6], []]);
        });
    });

    // Guards against a group that shrinks until it bears no loss any more.
    it("keeps as many voters as the tolerated losses require", async t => {
        const cluster = await startGroup(5, 5, 21);
        for (const slot of [0, 1, 2]) {
            cluster.crash(slot);
            await cluster.run(departureMilliseconds);
        }
        t.is(voterSlots(cluster).length, 3);
        for (const slot of [0, 1, 2]) {
            cluster.start(slot);
        }
        await cluster.run(departureMilliseconds);
        t.deepEqual([voterSlots(cluster).length, cluster.violations], [5, []]);
    });

    // Guards against membership changes that a short pause or restart of a member causes.
    it("keeps a voter that is back within seconds, unless another loss would end the quorum", async t => {
        const cluster = await startGroup(5, 5, 31);
        const position = (): number => cluster.members[cluster.leaderSlot ?? 0]?.log?.status().lastPosition ?? 0;
        const before = position();
        const paused = ((cluster.leaderSlot ?? 0) + 1) % 5;
        cluster.members[paused]?.process.suspend();
        await cluster.run(6000);
        t.is(voterSlots(cluster).length, 5);
        cluster.resumeAll();
        await cluster.run(settlingMilliseconds);
        t.deepEqual([position(), cluster.violations], [before, []]);
    });

    // Guards against an earlier voter that acts on its old view of the group.
    it("admits earlier voters again as learners; with their old view they neither vote nor lead", async t => {
        for (let seed = 41; seed <= 45; seed++) {
            const cluster = await startGroup(5, 5, seed);
            const leader = cluster.leaderSlot ?? 0;
            const cutOff = [1, 2].map(step => (leader + step) % 5);
            for (const slot of cutOff) {
                isolate(cluster, slot);
            }
            await cluster.run(departureMilliseconds);
            t.is(voterSlots(cluster).length, 3, `seed ${seed}`);
            t.true(await commits(cluster), `seed ${seed}`);
            const remaining = [0, 1, 2, 3, 4].filter(slot => !cutOff.includes(slot));
            for (const slot of remaining) {
                cluster.crash(slot);
            }
            cluster.links.blockedDirections.clear();
            await cluster.run(departureMilliseconds);
            t.is(cluster.leaderSlot, undefined, `seed ${seed}`);
            for (const slot of remaining) {
                cluster.start(slot);
            }
            await cluster.run(departureMilliseconds);
            t.true(await commits(cluster), `seed ${seed}`);
            t.deepEqual([voterSlots(cluster).length, cluster.violations], [5, []], `seed ${seed}`);
        }
    });

    // Guards against members that stay without a leader for long after they were cut off and removed.
    it("admits members that were cut off again within the time after which a returned VM counts as back", async t => {
        for (let seed = 71; seed <= 90; seed++) {
            const cluster = await startGroup(5, 5, seed);
            const leader = cluster.leaderSlot ?? 0;
            const cutOff = [1, 2].map(step => (leader + step) % 5);
            for (const slot of cutOff) {
                isolate(cluster, slot);
            }
            await cluster.run(5000 + seed * 10);
            cluster.links.blockedDirections.clear();
            await cluster.run(catchUpMilliseconds);
            t.deepEqual([voterSlots(cluster).length, cluster.violations], [5, []], `seed ${seed}`);
        }
    });

    // Guards against new members that are removed again before they could respond, because their leader has led for long.
    it("admits a member that responds slowly once, long after the election", async t => {
        const cluster = await startGroup(6, 5, 95);
        cluster.links.minimumDelayMilliseconds = slowLinkMilliseconds;
        await cluster.run(departureMilliseconds);
        const position = (): number => cluster.members[cluster.leaderSlot ?? 0]?.log?.status().lastPosition ?? 0;
        const before = position();
        await startSlots(cluster, 5, 6);
        t.is(voterSlots(cluster).length, 6);
        t.is(position(), before + ["addLearner", "promote"].length);
        t.deepEqual(cluster.violations, []);
    });

    // Guards against a group that does not come back after all of its members lost power at the same moment.
    it("comes back after all members lost power, also while voters are being removed", async t => {
        for (let seed = 51; seed <= 60; seed++) {
            const cluster = await startGroup(8, 5, seed);
            await startSlots(cluster, 5, 8);
            for (const slot of [0, 1, 2]) {
                cluster.eraseDisk(slot);
            }
            await cluster.run(2400 + (seed - 51) * 60);
            cluster.crashAll();
            await cluster.run(1000);
            for (const slot of [3, 4, 5, 6, 7]) {
                cluster.start(slot);
            }
            await cluster.run(departureMilliseconds);
            t.true(await commits(cluster), `seed ${seed}`);
            t.deepEqual([voterSlots(cluster), cluster.violations], [[3, 4, 5, 6, 7], []], `seed ${seed}`);
        }
    });
});
