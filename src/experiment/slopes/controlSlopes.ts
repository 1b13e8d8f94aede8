import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { readProcessUsage } from "../processUsage.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest, syntheticTeamName } from "./slopeManifest.js";
import { measureUsage } from "./usageSpan.js";

/** Numbers of connected entries. */
const entryCounts = [50, 100, 200, 300];

/** Number of entries that is tried last. */
const joinOnlyEntryCount = 700;

/** How long entries may take to join, in milliseconds. */
const joinTimeout: Milliseconds = 15_000;

/** Changes of keys a second. */
const keyChangeRates = [1, 5, 20];

/** Seconds for which each load is measured. */
const measurementSeconds = 4;

/** Changes whose way to all entries is timed. */
const propagationSamples = 10;

const manifestShape = { teams: 1000, pools: 16, endpoints: 160 };

/** What one load on the leader costs. */
export interface LeaderCost {
    readonly entries: number;
    readonly changesPerSecond: number;
    /** Changes a second of the load that some entry tells; each changes the list of entries. */
    readonly listingChangesPerSecond: number;
    readonly leaderCores: number;
    readonly leaderMegabytes: number;
    /** Bytes a second that one entry receives, and sends. */
    readonly receivedPerEntry: number;
    readonly sentPerEntry: number;
}

/** Times from acceptance of a change until every connected entry holds it, in milliseconds, in ascending order. */
export interface PropagationTimes {
    readonly entries: number;
    readonly milliseconds: readonly number[];
}

/** How many of many entries that connect at once get a permit in time. */
export interface JoinMeasurement {
    readonly entries: number;
    readonly seconds: number;
    readonly withPermit: number;
    /** Bytes a second that control sent to all of them meanwhile. */
    readonly receivedPerSecond: number;
    /** Part of a core that the leader, and this process with all the entries, used meanwhile. */
    readonly leaderCores: number;
    readonly ownCores: number;
}

/** The leader's cost against entries and changes. */
export interface ControlSlopes {
    readonly costs: readonly LeaderCost[];
    readonly spread: readonly PropagationTimes[];
    readonly joins: readonly JoinMeasurement[];
    readonly coresPerEntry: LinearFit;
    readonly megabytesPerEntry: LinearFit;
    readonly coresPerChangeRate: LinearFit;
    readonly receivedPerEntryPerChangeRate: LinearFit;
    /** Bytes a second that one entry receives, against entries, while the list of entries changes once a second. */
    readonly listingBytesPerEntry: LinearFit;
}

interface LeaderLoad {
    readonly changesPerSecond: number;
    readonly listingChangesPerSecond: number;
}

const idleLoad: LeaderLoad = { changesPerSecond: 0, listingChangesPerSecond: 0 };
const listingChangeLoad: LeaderLoad = { changesPerSecond: 0, listingChangesPerSecond: 1 };

/** Measures the leader of three real control processes before fake entries. */
export async function measureControlSlopes(clock: Clock): Promise<ControlSlopes> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    await measured.findLeader();
    await measured.submit(number => createSyntheticManifest({ number, ...manifestShape }));
    using fleet = new FakeEntryFleet(measuredClusterName, cluster.controlEntryAddresses, clock);
    const costs: LeaderCost[] = [];
    const propagation: PropagationTimes[] = [];
    const joins: JoinMeasurement[] = [];
    for (const entryCount of entryCounts) {
        joins.push(await measureJoin(measured, fleet, entryCount, clock));
        await clock.sleep(1000);
        costs.push(await measureLoad(measured, fleet, idleLoad, clock));
        costs.push(await measureLoad(measured, fleet, listingChangeLoad, clock));
        propagation.push(await measurePropagation(measured, fleet, clock));
    }
    for (const changesPerSecond of keyChangeRates) {
        costs.push(await measureLoad(measured, fleet, { ...idleLoad, changesPerSecond }, clock));
    }
    joins.push(await measureJoin(measured, fleet, joinOnlyEntryCount, clock));
    return { costs, spread: propagation, joins, ...fitCosts(costs) };
}

async function measureJoin(
    measured: MeasuredCluster,
    fleet: FakeEntryFleet,
    entries: number,
    clock: Clock,
): Promise<JoinMeasurement> {
    const leader = await measured.findLeader();
    const receivedBefore = fleet.traffic().received;
    const ownBefore = await readProcessUsage(process.pid);
    const usage = await measureUsage(leader.started.processId, clock, async () => {
        await fleet.growTo(entries, joinTimeout);
    });
    const ownAfter = await readProcessUsage(process.pid);
    return {
        entries,
        seconds: usage.seconds,
        withPermit: fleet.permittedCount,
        receivedPerSecond: (fleet.traffic().received - receivedBefore) / usage.seconds,
        leaderCores: usage.cores,
        ownCores: (ownAfter.processorTime - ownBefore.processorTime) / 1000 / usage.seconds,
    };
}

async function measureLoad(
    measured: MeasuredCluster,
    fleet: FakeEntryFleet,
    load: LeaderLoad,
    clock: Clock,
): Promise<LeaderCost> {
    const leader = await measured.findLeader();
    const trafficBefore = fleet.traffic();
    const span = await measureUsage(leader.started.processId, clock, async () => {
        await Promise.all([
            issueKeysAtRate(measured, clock, load.changesPerSecond, measurementSeconds),
            changeEntryListings(fleet, clock, load.listingChangesPerSecond),
        ]);
    });
    const trafficAfter = fleet.traffic();
    const entrySeconds = span.seconds * fleet.entries.length;
    return {
        entries: fleet.entries.length,
        ...load,
        leaderCores: span.cores,
        leaderMegabytes: span.residentMegabytes,
        receivedPerEntry: (trafficAfter.received - trafficBefore.received) / entrySeconds,
        sentPerEntry: (trafficAfter.sent - trafficBefore.sent) / entrySeconds,
    };
}

/** Lets one entry after another tell of another load. */
async function changeEntryListings(fleet: FakeEntryFleet, clock: Clock, perSecond: number): Promise<void> {
    for (let index = 0; index < perSecond * measurementSeconds; index++) {
        const entry = fleet.entries[index % fleet.entries.length];
        if (entry !== undefined) {
            entry.runningRequests = entry.runningRequests === 0 ? 100 : 0;
        }
        await clock.sleep(1000 / perSecond);
    }
}

async function measurePropagation(
    measured: MeasuredCluster,
    fleet: FakeEntryFleet,
    clock: Clock,
): Promise<PropagationTimes> {
    const milliseconds: number[] = [];
    for (let index = 0; index < propagationSamples; index++) {
        const name = `spread-${fleet.entries.length}-${index}`;
        const version = await measured.issueKey(syntheticTeamName(index), name, `ghk_${name}`);
        const acceptedAt = clock.now();
        milliseconds.push(Math.max(0, await fleet.waitForVersion(version) - acceptedAt));
    }
    return { entries: fleet.entries.length, milliseconds: milliseconds.sort((left, right) => left - right) };
}

function fitCosts(costs: readonly LeaderCost[]): Omit<ControlSlopes, "costs" | "spread" | "joins"> {
    const idleCosts = costs.filter(cost => cost.changesPerSecond === 0 && cost.listingChangesPerSecond === 0);
    const listingChangeCosts = costs.filter(cost => cost.listingChangesPerSecond > 0);
    const maximumEntryCount = Math.max(...entryCounts);
    const keyChangeCosts = costs.filter(cost =>
        cost.entries === maximumEntryCount && cost.listingChangesPerSecond === 0
    );
    const entriesOf = (cost: LeaderCost): number => cost.entries;
    const rateOf = (cost: LeaderCost): number => cost.changesPerSecond;
    return {
        coresPerEntry: fitMeasurements(idleCosts, entriesOf, cost => cost.leaderCores),
        megabytesPerEntry: fitMeasurements(idleCosts, entriesOf, cost => cost.leaderMegabytes),
        coresPerChangeRate: fitMeasurements(keyChangeCosts, rateOf, cost => cost.leaderCores),
        receivedPerEntryPerChangeRate: fitMeasurements(keyChangeCosts, rateOf, cost => cost.receivedPerEntry),
        listingBytesPerEntry: fitMeasurements(listingChangeCosts, entriesOf, cost => cost.receivedPerEntry),
    };
}
