import type { ExecutionContext } from "ava";
import fastCheck from "fast-check";
import { match } from "ts-pattern";
import { describe, it } from "../../describe.js";
import { VirtualCluster } from "./virtualCluster.js";
import type { OpenGroupOptions } from "./virtualCluster.js";

/** Maximum virtual time in which all members must converge after the last fault. */
const recoveryMilliseconds = 60_000;

const slot = fastCheck.nat(4);

const fault = fastCheck.oneof(
    { weight: 8, arbitrary: fastCheck.record({ kind: fastCheck.constant("propose"), count: fastCheck.nat(16) }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("confirm"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("crash"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("crashLeader") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("crashAll") }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("start"), slot }) },
    { weight: 6, arbitrary: fastCheck.record({ kind: fastCheck.constant("startAll") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("eraseDisk"), slot }) },
    {
        weight: 2,
        arbitrary: fastCheck.record({ kind: fastCheck.constant("fillDisk"), slot, full: fastCheck.boolean() }),
    },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("blockOneWay"), from: slot, to: slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("isolate"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("isolateLeader") }) },
    { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant("healNetwork") }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("suspendLeader") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("suspend"), slot }) },
    { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant("resumeAll") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("jumpWallClock"), slot }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("stopLeader") }) },
    { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant("removeMember"), slot }) },
    {
        weight: 2,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("degradeNetwork"),
            lossRate: fastCheck.constantFrom(0, 0.05, 0.3),
            delayRate: fastCheck.constantFrom(0, 0.1, 0.4),
        }),
    },
);

type Fault = typeof fault extends fastCheck.Arbitrary<infer Value> ? Value : never;

const schedules = fastCheck.record({
    seed: fastCheck.nat(1_000_000),
    steps: fastCheck.array(
        fastCheck.record({ fault, delayMilliseconds: fastCheck.constantFrom(1, 3, 6, 20, 300, 1500, 4000) }),
        {
            minLength: 5,
            maxLength: 40,
        },
    ),
});

function setIsolated(cluster: VirtualCluster, isolatedSlot: number, blocked: boolean): void {
    for (const other of cluster.disks.keys()) {
        cluster.setBlocked(isolatedSlot, other, blocked);
        cluster.setBlocked(other, isolatedSlot, blocked);
    }
}

function injectFault(cluster: VirtualCluster, injected: Fault): void {
    const leader = cluster.leaderSlot ?? 0;
    match(injected)
        .with({ kind: "propose" }, ({ count }) => {
            for (let index = 0; index < count; index += 1) {
                cluster.propose(leader);
            }
        })
        .with({ kind: "confirm" }, slotFault => {
            cluster.confirm(slotFault.slot);
        })
        .with({ kind: "crash" }, slotFault => {
            cluster.crash(slotFault.slot);
        })
        .with({ kind: "crashLeader" }, () => {
            cluster.crash(leader);
        })
        .with({ kind: "crashAll" }, () => {
            cluster.crashAll();
        })
        .with({ kind: "startAll" }, () => {
            startAll(cluster);
        })
        .with({ kind: "start" }, slotFault => {
            cluster.start(slotFault.slot);
        })
        .with({ kind: "eraseDisk" }, slotFault => {
            if (cluster.isFullyReplicated) {
                cluster.eraseDisk(slotFault.slot);
            }
        })
        .with({ kind: "fillDisk" }, slotFault => {
            cluster.setFull(slotFault.slot, slotFault.full);
        })
        .with({ kind: "blockOneWay" }, ({ from, to }) => {
            cluster.setBlocked(from, to, true);
        })
        .with({ kind: "isolate" }, slotFault => {
            setIsolated(cluster, slotFault.slot, true);
        })
        .with({ kind: "isolateLeader" }, () => {
            setIsolated(cluster, leader, true);
        })
        .with({ kind: "healNetwork" }, () => {
            cluster.links.blockedDirections.clear();
        })
        .with({ kind: "suspendLeader" }, () => cluster.members[leader]?.process.suspend())
        .with({ kind: "suspend" }, slotFault => cluster.members[slotFault.slot]?.process.suspend())
        .with({ kind: "resumeAll" }, () => {
            cluster.resumeAll();
        })
        .with({ kind: "jumpWallClock" }, slotFault => {
            cluster.jumpWallClock(slotFault.slot);
        })
        .with({ kind: "stopLeader" }, () => {
            cluster.stop(leader);
        })
        .with({ kind: "removeMember" }, slotFault => {
            if (cluster.isFullyReplicated) {
                cluster.removeMember(slotFault.slot);
            }
        })
        .with({ kind: "degradeNetwork" }, ({ lossRate, delayRate }) => {
            cluster.links.lossRate = lossRate;
            cluster.links.delayRate = delayRate;
        })
        .exhaustive();
}

function startAll(cluster: VirtualCluster): void {
    for (const memberSlot of cluster.disks.keys()) {
        cluster.start(memberSlot);
    }
}

/** Ends all faults, and resolves to whether the members then converge, including on a newly committed command. */
async function recovers(cluster: VirtualCluster): Promise<boolean> {
    cluster.links.blockedDirections.clear();
    cluster.links.lossRate = 0;
    cluster.links.delayRate = 0;
    cluster.resumeAll();
    for (const memberSlot of cluster.disks.keys()) {
        cluster.setFull(memberSlot, false);
    }
    const progress = { committed: false };
    const end = cluster.time.now + recoveryMilliseconds;
    while (cluster.time.now < end && !(progress.committed && cluster.hasConverged)) {
        if (!progress.committed && cluster.leaderSlot !== undefined) {
            cluster.propose(cluster.leaderSlot, () => {
                progress.committed = true;
            });
        }
        if (cluster.openGroup === undefined) {
            cluster.eraseRemovedMembers();
        }
        startAll(cluster);
        await cluster.run(500);
    }
    return progress.committed && cluster.hasConverged;
}

async function checkSchedules(
    t: ExecutionContext,
    size: number,
    seed: number,
    numRuns: number,
    openGroup?: OpenGroupOptions,
): Promise<void> {
    const property = fastCheck.asyncProperty(schedules, async schedule => {
        const cluster = new VirtualCluster(size, schedule.seed, openGroup);
        startAll(cluster);
        await cluster.run(4000);
        for (const step of schedule.steps) {
            injectFault(cluster, step.fault);
            await cluster.run(step.delayMilliseconds);
        }
        const recovered = await recovers(cluster);
        cluster.crashAll();
        const problems = recovered
            ? cluster.violations
            : [...cluster.violations, "the members did not converge after the faults"];
        if (problems.length > 0) {
            throw new Error(problems.slice(0, 3).join("; "));
        }
    });
    await t.notThrowsAsync(
        fastCheck.assert(property, { seed, numRuns, endOnFailure: true, includeErrorInReport: true }),
    );
}

describe("ReplicatedLog", () => {
    describe("under random fault schedules", () => {
        it("keeps its guarantees with 3 members", async t => checkSchedules(t, 3, 1, 400));

        it("keeps its guarantees with 5 members", async t => checkSchedules(t, 5, 2, 150));

        // Guards against a loss of committed entries, and a group that stays without a leader, after voters were removed
        // because they did not respond.
        it("keeps its guarantees with 5 members that join and leave by themselves", async t => {
            const openGroup = { listedSlots: [0, 1, 2], toleratedLosses: { vms: 1, fraction: 0 } };
            await checkSchedules(t, 5, 3, 150, openGroup);
        });
    });
});
