import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { readProcessUsage } from "../processUsage.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest, syntheticTeamName } from "./syntheticManifest.js";
import { measureUsage } from "./usageMeasurement.js";

/** Numbers of connected entries for which costs and propagation are measured. */
const entryCounts = [50, 100, 200, 300];

/** Number of entries in the last join measurement; nothing else is measured with it. */
const joinOnlyEntryCount = 700;

/** Time limit for entries to join, in milliseconds. */
const joinTimeout: Milliseconds = 15_000;

/** Key changes per second. */
const keyChangeRates = [1, 5, 20];

/** Duration of the measurement of each load, in seconds. */
const measurementSeconds = 4;

/** Number of key changes whose propagation to all entries is timed. */
const propagationSamples = 10;

const manifestShape = { teams: 1000, pools: 16, endpoints: 160 };

/** Resource usage of the leader under one load, and the traffic of the entries. */
export interface LeaderCost {
    readonly entries: number;
    /** Key changes per second. */
    readonly changesPerSecond: number;
    /** Changes per second of the load that entries report; each one changes the list of entries. */
    readonly listingChangesPerSecond: number;
    /** Processor time as a fraction of one core. */
    readonly leaderCores: number;
    /** Resident memory in megabytes (10^6 bytes). */
    readonly leaderMegabytes: number;
    /** Bytes per second that one entry receives and sends. */
    readonly receivedPerEntry: number;
    readonly sentPerEntry: number;
}

/** Times from accepting a key change until every connected entry has it, in milliseconds, in ascending order. */
export interface PropagationTimes {
    readonly entries: number;
    readonly milliseconds: readonly number[];
}

/** Result of connecting many entries at the same time. */
export interface JoinMeasurement {
    readonly entries: number;
    readonly seconds: number;
    /** Entries that have received a permit within the time limit. */
    readonly withPermit: number;
    /** Bytes per second that control sent to all entries meanwhile. */
    readonly receivedPerSecond: number;
    /** Fraction of one core that the leader, and this process with all the entries, used meanwhile. */
    readonly leaderCores: number;
    readonly ownCores: number;
}

/** Resource usage of the leader as a function of the numbers of entries and changes. */
export interface ControlSlopes {
    readonly costs: readonly LeaderCost[];
    readonly spread: readonly PropagationTimes[];
    readonly joins: readonly JoinMeasurement[];
    readonly coresPerEntry: LinearFit;
    readonly megabytesPerEntry: LinearFit;
    readonly coresPerChangeRate: LinearFit;
    readonly receivedPerEntryPerChangeRate: LinearFit;
    /** Bytes per second that one entry receives, by number of entries, while the list of entries changes once per second. */
    readonly listingBytesPerEntry: LinearFit;
}

interface LeaderLoad {
    readonly changesPerSecond: number;
    readonly listingChangesPerSecond: number;
}

const idleLoad: LeaderLoad = { changesPerSecond: 0, listingChangesPerSecond: 0 };
const listingChangeLoad: LeaderLoad = { changesPerSecond: 0, listingChangesPerSecond: 1 };

/** Measures the leader of three real control processes that serve fake entries. */
export async function measureControlSlopes(clock: Clock): Promise<ControlSlopes> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    await measured.waitForLeader();
    await measured.submitManifest(number => createSyntheticManifest({ number, ...manifestShape }));
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
    const leader = await measured.waitForLeader();
    const receivedBefore = fleet.traffic().received;
    const ownBefore = await readProcessUsage(process.pid);
    const usage = await measureUsage(leader.startedProgram.processId, clock, async () => {
        await fleet.growTo(entries, joinTimeout);
    });
    const ownAfter = await readProcessUsage(process.pid);
    return {
        entries,
        seconds: usage.seconds,
        withPermit: fleet.permittedCount,
        receivedPerSecond: (fleet.traffic().received - receivedBefore) / usage.seconds,
        leaderCores: usage.cores,
        ownCores: (ownAfter.cpuTime - ownBefore.cpuTime) / 1000 / usage.seconds,
    };
}

async function measureLoad(
    measured: MeasuredCluster,
    fleet: FakeEntryFleet,
    load: LeaderLoad,
    clock: Clock,
): Promise<LeaderCost> {
    const leader = await measured.waitForLeader();
    const trafficBefore = fleet.traffic();
    const usage = await measureUsage(leader.startedProgram.processId, clock, async () => {
        await Promise.all([
            issueKeysAtRate(measured, clock, load.changesPerSecond, measurementSeconds),
            changeEntryListings(fleet, clock, load.listingChangesPerSecond),
        ]);
    });
    const trafficAfter = fleet.traffic();
    const entrySeconds = usage.seconds * fleet.entries.length;
    return {
        entries: fleet.entries.length,
        ...load,
        leaderCores: usage.cores,
        leaderMegabytes: usage.residentMegabytes,
        receivedPerEntry: (trafficAfter.received - trafficBefore.received) / entrySeconds,
        sentPerEntry: (trafficAfter.sent - trafficBefore.sent) / entrySeconds,
    };
}

/** Changes the reported load of one entry after another. */
async function changeEntryListings(fleet: FakeEntryFleet, clock: Clock, changesPerSecond: number): Promise<void> {
    for (let index = 0; index < changesPerSecond * measurementSeconds; index++) {
        const entry = fleet.entries[index % fleet.entries.length];
        if (entry !== undefined) {
            entry.runningRequests = entry.runningRequests === 0 ? 100 : 0;
        }
        await clock.sleep(1000 / changesPerSecond);
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
