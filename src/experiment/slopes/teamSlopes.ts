import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest } from "./syntheticManifest.js";
import { measureUsage } from "./usageMeasurement.js";

/** Numbers of teams in the measured manifests. */
const teamCounts = [1000, 6000, 18_000];

const entryCount = 10;
const joinTimeout: Milliseconds = 15_000;
const keyChangesPerSecond = 5;
const measurementSeconds = 3;

/** Resource usage of control for a manifest with a number of teams. */
export interface TeamCost {
    readonly teams: number;
    readonly manifestBytes: number;
    /** Time from sending the whole manifest until the response to the operator. */
    readonly applyTime: Milliseconds;
    /** The same time for a manifest that adds one team. */
    readonly smallApplyTime: Milliseconds;
    /** Mean number of bytes that an entry without state receives until it has the configuration. */
    readonly snapshotBytes: number;
    /** Mean number of bytes that an entry receives for the added team. */
    readonly smallChangeBytes: number;
    /** Resident memory of the leader in megabytes (10^6 bytes). */
    readonly leaderMegabytes: number;
    /** Fraction of one core that the leader uses at five key changes per second. */
    readonly leaderCoresAtFiveChanges: number;
}

/** Resource usage of control as a function of the number of teams. */
export interface TeamSlopes {
    readonly costs: readonly TeamCost[];
    readonly applyTime: LinearFit;
    readonly smallApplyTime: LinearFit;
    readonly snapshotBytes: LinearFit;
    readonly leaderMegabytes: LinearFit;
    readonly leaderCoresAtFiveChanges: LinearFit;
}

/** Measures manifests of several sizes with three real control processes that serve a few fake entries. */
export async function measureTeamSlopes(clock: Clock): Promise<TeamSlopes> {
    const costs: TeamCost[] = [];
    for (const teams of teamCounts) {
        costs.push(await measureTeams(teams, clock));
    }
    const teamsOf = (cost: TeamCost): number => cost.teams;
    return {
        costs,
        applyTime: fitMeasurements(costs, teamsOf, cost => cost.applyTime),
        smallApplyTime: fitMeasurements(costs, teamsOf, cost => cost.smallApplyTime),
        snapshotBytes: fitMeasurements(costs, teamsOf, cost => cost.snapshotBytes),
        leaderMegabytes: fitMeasurements(costs, teamsOf, cost => cost.leaderMegabytes),
        leaderCoresAtFiveChanges: fitMeasurements(costs, teamsOf, cost => cost.leaderCoresAtFiveChanges),
    };
}

async function measureTeams(teams: number, clock: Clock): Promise<TeamCost> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const leader = await measured.waitForLeader();
    const shape = { pools: 16, endpoints: 160 };
    let manifestBytes = 0;
    const applyTime = await measureTime(clock, () =>
        measured.submitManifest(number => {
            const manifest = createSyntheticManifest({ number, teams, ...shape });
            manifestBytes = JSON.stringify(manifest).length;
            return manifest;
        }));
    using fleet = new FakeEntryFleet(measuredClusterName, cluster.controlEntryAddresses, clock);
    await fleet.growTo(entryCount, joinTimeout);
    await fleet.waitForVersion(1);
    const snapshotBytes = fleet.traffic().received / entryCount;
    let version = 0;
    const smallApplyTime = await measureTime(clock, async () => {
        version = await measured.submitManifest(number =>
            createSyntheticManifest({ number, teams: teams + 1, ...shape })
        );
    });
    await fleet.waitForVersion(version);
    const smallChangeBytes = fleet.traffic().received / entryCount - snapshotBytes;
    const usage = await measureUsage(leader.startedProgram.processId, clock, async () => {
        await issueKeysAtRate(measured, clock, keyChangesPerSecond, measurementSeconds);
    });
    return {
        teams,
        manifestBytes,
        applyTime,
        smallApplyTime,
        snapshotBytes,
        smallChangeBytes,
        leaderMegabytes: usage.residentMegabytes,
        leaderCoresAtFiveChanges: usage.cores,
    };
}

async function measureTime(clock: Clock, action: () => Promise<unknown>): Promise<Milliseconds> {
    const startedAt = clock.now();
    await action();
    return clock.now() - startedAt;
}
