import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest } from "./slopeManifest.js";
import { measureUsage } from "./usageSpan.js";

/** Numbers of teams in a manifest. */
const teamCounts = [1000, 6000, 18_000];

const entryCount = 10;
const joinTimeout: Milliseconds = 15_000;
const keyChangesPerSecond = 5;
const measurementSeconds = 3;

/** What a manifest with a number of teams costs control. */
export interface TeamCost {
    readonly teams: number;
    readonly manifestBytes: number;
    /** From sending the whole manifest to the operator's answer. */
    readonly applyTime: Milliseconds;
    /** The same for a manifest that adds one team. */
    readonly smallApplyTime: Milliseconds;
    /** Bytes that an entry without any state receives until it holds the configuration. */
    readonly snapshotBytes: number;
    /** Bytes that an entry receives for the added team. */
    readonly smallChangeBytes: number;
    readonly leaderMegabytes: number;
    /** Part of a core that the leader spends at five changes of keys a second. */
    readonly leaderCoresAtFiveChanges: number;
}

/** Control's cost against teams. */
export interface TeamSlopes {
    readonly costs: readonly TeamCost[];
    readonly applyTime: LinearFit;
    readonly smallApplyTime: LinearFit;
    readonly snapshotBytes: LinearFit;
    readonly leaderMegabytes: LinearFit;
    readonly leaderCoresAtFiveChanges: LinearFit;
}

/** Measures manifests of several sizes at three real control processes before a few fake entries. */
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
    const leader = await measured.findLeader();
    const shape = { pools: 16, endpoints: 160 };
    let manifestBytes = 0;
    const applyTime = await measureTime(clock, () =>
        measured.submit(number => {
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
        version = await measured.submit(number => createSyntheticManifest({ number, teams: teams + 1, ...shape }));
    });
    await fleet.waitForVersion(version);
    const smallChangeBytes = fleet.traffic().received / entryCount - snapshotBytes;
    const usage = await measureUsage(leader.started.processId, clock, async () => {
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
