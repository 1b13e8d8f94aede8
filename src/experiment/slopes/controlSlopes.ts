import { Cluster } from "../../quickstart/cluster.js";
import type { Clock } from "../../util/clock.js";
import { MeasuredCluster, measuredClusterName } from "../measuredCluster.js";
import { FakeEntryFleet } from "./fakeEntryFleet.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitOf } from "./linearFit.js";
import { slopeManifest, slopeTeam } from "./slopeManifest.js";
import { usageWhile } from "./usageSpan.js";

/** Numbers of connected entries. */
const entryCounts = [50, 200, 700];

/** Changes of keys a second. */
const changeRates = [1, 5, 20];

/** Seconds for which each load is measured. */
const spanSeconds = 4;

/** Changes whose way to all entries is timed. */
const timedChanges = 10;

const baseManifest = { teams: 1000, pools: 16, endpoints: 160 };

/** What one load on the leader costs. */
export interface ControlCost {
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
export interface SpreadTimes {
    readonly entries: number;
    readonly milliseconds: readonly number[];
}

/** The leader's cost against entries and changes. */
export interface ControlSlopes {
    readonly costs: readonly ControlCost[];
    readonly spread: readonly SpreadTimes[];
    readonly coresPerEntry: LinearFit;
    readonly megabytesPerEntry: LinearFit;
    readonly coresPerChangeRate: LinearFit;
    readonly receivedPerEntryPerChangeRate: LinearFit;
    /** Bytes a second that one entry receives, against entries, while the list of entries changes once a second. */
    readonly listingBytesPerEntry: LinearFit;
}

interface Load {
    readonly changesPerSecond: number;
    readonly listingChangesPerSecond: number;
}

const quiet: Load = { changesPerSecond: 0, listingChangesPerSecond: 0 };
const listings: Load = { changesPerSecond: 0, listingChangesPerSecond: 1 };

/** Measures the leader of three real control processes before fake entries. */
export async function measureControlSlopes(clock: Clock): Promise<ControlSlopes> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    await measured.findLeader();
    await measured.submit(number => slopeManifest({ number, ...baseManifest }));
    using fleet = new FakeEntryFleet(measuredClusterName, cluster.controlEntryAddresses, clock);
    const costs: ControlCost[] = [];
    const spread: SpreadTimes[] = [];
    for (const count of entryCounts) {
        await fleet.growTo(count);
        await clock.sleep(1000);
        costs.push(await measureLoad(measured, fleet, quiet, clock));
        costs.push(await measureLoad(measured, fleet, listings, clock));
        spread.push(await measureSpread(measured, fleet, clock));
    }
    for (const changesPerSecond of changeRates) {
        costs.push(await measureLoad(measured, fleet, { ...quiet, changesPerSecond }, clock));
    }
    return { costs, spread, ...fitsOf(costs) };
}

async function measureLoad(
    measured: MeasuredCluster,
    fleet: FakeEntryFleet,
    load: Load,
    clock: Clock,
): Promise<ControlCost> {
    const leader = await measured.findLeader();
    const before = fleet.traffic();
    const span = await usageWhile(leader.started.processId, clock, async () => {
        await Promise.all([
            issueKeysAtRate(measured, clock, load.changesPerSecond, spanSeconds),
            changeListings(fleet, clock, load.listingChangesPerSecond),
        ]);
    });
    const after = fleet.traffic();
    const entrySeconds = span.seconds * fleet.entries.length;
    return {
        entries: fleet.entries.length,
        ...load,
        leaderCores: span.cores,
        leaderMegabytes: span.residentMegabytes,
        receivedPerEntry: (after.received - before.received) / entrySeconds,
        sentPerEntry: (after.sent - before.sent) / entrySeconds,
    };
}

/** Lets one entry after another tell of another load. */
async function changeListings(fleet: FakeEntryFleet, clock: Clock, perSecond: number): Promise<void> {
    for (let index = 0; index < perSecond * spanSeconds; index++) {
        const entry = fleet.entries[index % fleet.entries.length];
        if (entry !== undefined) {
            entry.runningRequests = entry.runningRequests === 0 ? 100 : 0;
        }
        await clock.sleep(1000 / perSecond);
    }
}

async function measureSpread(measured: MeasuredCluster, fleet: FakeEntryFleet, clock: Clock): Promise<SpreadTimes> {
    const milliseconds: number[] = [];
    for (let index = 0; index < timedChanges; index++) {
        const name = `spread-${fleet.entries.length}-${index}`;
        const version = await measured.issueKey(slopeTeam(index), name, `ghk_${name}`);
        const acceptedAt = clock.now();
        milliseconds.push(Math.max(0, await fleet.allHold(version) - acceptedAt));
    }
    return { entries: fleet.entries.length, milliseconds: milliseconds.sort((left, right) => left - right) };
}

function fitsOf(costs: readonly ControlCost[]): Omit<ControlSlopes, "costs" | "spread"> {
    const still = costs.filter(cost => cost.changesPerSecond === 0 && cost.listingChangesPerSecond === 0);
    const listed = costs.filter(cost => cost.listingChangesPerSecond > 0);
    const largest = Math.max(...entryCounts);
    const changed = costs.filter(cost => cost.entries === largest && cost.listingChangesPerSecond === 0);
    const entriesOf = (cost: ControlCost): number => cost.entries;
    const rateOf = (cost: ControlCost): number => cost.changesPerSecond;
    return {
        coresPerEntry: fitOf(still, entriesOf, cost => cost.leaderCores),
        megabytesPerEntry: fitOf(still, entriesOf, cost => cost.leaderMegabytes),
        coresPerChangeRate: fitOf(changed, rateOf, cost => cost.leaderCores),
        receivedPerEntryPerChangeRate: fitOf(changed, rateOf, cost => cost.receivedPerEntry),
        listingBytesPerEntry: fitOf(listed, entriesOf, cost => cost.receivedPerEntry),
    };
}
