import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitOf } from "./linearFit.js";
import { slopeManifest } from "./slopeManifest.js";
import { usageWhile } from "./usageSpan.js";

/** Numbers of teams in a manifest. */
const teamCounts = [1000, 6000, 18_000];

const entries = 10;
const changesPerSecond = 5;
const spanSeconds = 3;

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
        applyTime: fitOf(costs, teamsOf, cost => cost.applyTime),
        smallApplyTime: fitOf(costs, teamsOf, cost => cost.smallApplyTime),
        snapshotBytes: fitOf(costs, teamsOf, cost => cost.snapshotBytes),
        leaderMegabytes: fitOf(costs, teamsOf, cost => cost.leaderMegabytes),
        leaderCoresAtFiveChanges: fitOf(costs, teamsOf, cost => cost.leaderCoresAtFiveChanges),
    };
}

async function measureTeams(teams: number, clock: Clock): Promise<TeamCost> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const leader = await measured.findLeader();
    const shape = { pools: 16, endpoints: 160 };
    let manifestBytes = 0;
    const applyTime = await timeOf(clock, () =>
        measured.submit(number => {
            const manifest = slopeManifest({ number, teams, ...shape });
            manifestBytes = JSON.stringify(manifest).length;
            return manifest;
        }));
    using fleet = new FakeEntryFleet(measuredClusterName, cluster.controlEntryAddresses, clock);
    await fleet.growTo(entries);
    await fleet.allHold(1);
    const snapshotBytes = fleet.traffic().received / entries;
    let version = 0;
    const smallApplyTime = await timeOf(clock, async () => {
        version = await measured.submit(number => slopeManifest({ number, teams: teams + 1, ...shape }));
    });
    await fleet.allHold(version);
    const smallChangeBytes = fleet.traffic().received / entries - snapshotBytes;
    const span = await usageWhile(leader.started.processId, clock, async () => {
        await issueKeysAtRate(measured, clock, changesPerSecond, spanSeconds);
    });
    return {
        teams,
        manifestBytes,
        applyTime,
        smallApplyTime,
        snapshotBytes,
        smallChangeBytes,
        leaderMegabytes: span.residentMegabytes,
        leaderCoresAtFiveChanges: span.cores,
    };
}

async function timeOf(clock: Clock, action: () => Promise<unknown>): Promise<Milliseconds> {
    const start = clock.now();
    await action();
    return clock.now() - start;
}
