import type { ExecutionContext } from "ava";
import fastCheck from "fast-check";
import { match } from "ts-pattern";
import { describe, it } from "../../describe.js";
import { VirtualCluster } from "./virtualCluster.js";

/** Longest virtual time for all members to agree again after the last fault, in milliseconds. */
const recoveryTime = 60_000;

const slot = fastCheck.nat(4);

const fault = fastCheck.oneof(
    { weight: 8, arbitrary: fastCheck.record({ kind: fastCheck.constant("propose"), count: fastCheck.nat(16) }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("confirm"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("crash"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("crashLeader") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("crashAll") }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("start"), slot }) },
    { weight: 6, arbitrary: fastCheck.record({ kind: fastCheck.constant("startAll") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("loseDisk"), slot }) },
    {
        weight: 2,
        arbitrary: fastCheck.record({ kind: fastCheck.constant("fillDisk"), slot, full: fastCheck.boolean() }),
    },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("cutOneWay"), from: slot, to: slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("cutOff"), slot }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("cutOffLeader") }) },
    { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant("mend") }) },
    { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant("pauseLeader") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("pause"), slot }) },
    { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant("continue") }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("jumpWallClock"), slot }) },
    { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant("stopLeader") }) },
    { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant("removeMember"), slot }) },
    {
        weight: 2,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("disturb"),
            lossRate: fastCheck.constantFrom(0, 0.05, 0.3),
            lateRate: fastCheck.constantFrom(0, 0.1, 0.4),
        }),
    },
);

type Fault = typeof fault extends fastCheck.Arbitrary<infer Value> ? Value : never;

const schedules = fastCheck.record({
    seed: fastCheck.nat(1_000_000),
    steps: fastCheck.array(fastCheck.record({ fault, pause: fastCheck.constantFrom(1, 3, 6, 20, 300, 1500, 4000) }), {
        minLength: 5,
        maxLength: 40,
    }),
});

function setCutOff(cluster: VirtualCluster, cutOff: number, cut: boolean): void {
    for (const other of cluster.disks.keys()) {
        cluster.setCut(cutOff, other, cut);
        cluster.setCut(other, cutOff, cut);
    }
}

function bringAbout(cluster: VirtualCluster, happening: Fault): void {
    const leader = cluster.leaderSlot ?? 0;
    match(happening)
        .with({ kind: "propose" }, ({ count }) => {
            for (let index = 0; index < count; index += 1) {
                cluster.propose(leader);
            }
        })
        .with({ kind: "confirm" }, faulty => {
            cluster.confirm(faulty.slot);
        })
        .with({ kind: "crash" }, faulty => {
            cluster.crash(faulty.slot);
        })
        .with({ kind: "crashLeader" }, () => {
            cluster.crash(leader);
        })
        .with({ kind: "crashAll" }, () => {
            cluster.killAll();
        })
        .with({ kind: "startAll" }, () => {
            startAll(cluster);
        })
        .with({ kind: "start" }, faulty => {
            cluster.start(faulty.slot);
        })
        .with({ kind: "loseDisk" }, faulty => {
            if (cluster.whole) {
                cluster.loseDisk(faulty.slot);
            }
        })
        .with({ kind: "fillDisk" }, faulty => {
            cluster.setFull(faulty.slot, faulty.full);
        })
        .with({ kind: "cutOneWay" }, ({ from, to }) => {
            cluster.setCut(from, to, true);
        })
        .with({ kind: "cutOff" }, faulty => {
            setCutOff(cluster, faulty.slot, true);
        })
        .with({ kind: "cutOffLeader" }, () => {
            setCutOff(cluster, leader, true);
        })
        .with({ kind: "mend" }, () => {
            cluster.wires.cut.clear();
        })
        .with({ kind: "pauseLeader" }, () => cluster.members[leader]?.process.stop())
        .with({ kind: "pause" }, faulty => cluster.members[faulty.slot]?.process.stop())
        .with({ kind: "continue" }, () => {
            cluster.continueAll();
        })
        .with({ kind: "jumpWallClock" }, faulty => {
            cluster.jumpWallClock(faulty.slot);
        })
        .with({ kind: "stopLeader" }, () => {
            cluster.stop(leader);
        })
        .with({ kind: "removeMember" }, faulty => {
            if (cluster.whole) {
                cluster.removeMember(faulty.slot);
            }
        })
        .with({ kind: "disturb" }, ({ lossRate, lateRate }) => {
            cluster.wires.lossRate = lossRate;
            cluster.wires.lateRate = lateRate;
        })
        .exhaustive();
}

function startAll(cluster: VirtualCluster): void {
    for (const each of cluster.disks.keys()) {
        cluster.start(each);
    }
}

/** Ends all faults, and says whether the members then agree on everything including a new command. */
async function recovers(cluster: VirtualCluster): Promise<boolean> {
    cluster.wires.cut.clear();
    cluster.wires.lossRate = 0;
    cluster.wires.lateRate = 0;
    cluster.continueAll();
    for (const each of cluster.disks.keys()) {
        cluster.setFull(each, false);
    }
    const progress = { committed: false };
    const end = cluster.time.now + recoveryTime;
    while (cluster.time.now < end && !(progress.committed && cluster.agrees)) {
        if (!progress.committed && cluster.leaderSlot !== undefined) {
            cluster.propose(cluster.leaderSlot, () => {
                progress.committed = true;
            });
        }
        cluster.replaceRemoved();
        startAll(cluster);
        await cluster.run(500);
    }
    return progress.committed && cluster.agrees;
}

async function checkSchedules(t: ExecutionContext, size: number, seed: number, numRuns: number): Promise<void> {
    const property = fastCheck.asyncProperty(schedules, async schedule => {
        const cluster = new VirtualCluster(size, schedule.seed);
        startAll(cluster);
        await cluster.run(4000);
        for (const step of schedule.steps) {
            bringAbout(cluster, step.fault);
            await cluster.run(step.pause);
        }
        const recovered = await recovers(cluster);
        cluster.killAll();
        const faults = recovered ? cluster.violations : [...cluster.violations, "the members do not agree again"];
        if (faults.length > 0) {
            throw new Error(faults.slice(0, 3).join("; "));
        }
    });
    await t.notThrowsAsync(
        fastCheck.assert(property, { seed, numRuns, endOnFailure: true, includeErrorInReport: true }),
    );
}

describe("ReplicatedLog", () => {
    describe("under random schedules of faults", () => {
        it("keeps its promises with 3 members", async t => checkSchedules(t, 3, 1, 400));

        it("keeps its promises with 5 members", async t => checkSchedules(t, 5, 2, 150));
    });
});
