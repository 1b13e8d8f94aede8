import { spawn } from "node:child_process";
import { once } from "node:events";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { readProcessUsage } from "../processUsage.js";
import { FakeEndpointServer } from "./fakeEndpointServer.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest } from "./syntheticManifest.js";
import { measureUsage } from "./usageMeasurement.js";

/** Numbers of teams in the measurements without endpoints. */
const teamCounts = [1000, 6000, 18_000];

/** Numbers of endpoints, divided among all pools, in the measurements with endpoints. */
const endpointCounts = [160, 1600, 10_000];

/** Key changes per second. */
const keyChangeRates = [0, 5, 20];

const poolCount = 16;
const measurementSeconds = 4;
const settleTime: Milliseconds = 2000;

/** Resource usage of an entry without caller traffic. */
export interface EntryCost {
    readonly teams: number;
    readonly endpoints: number;
    /** Key changes per second. */
    readonly changesPerSecond: number;
    /** Processor time as a fraction of one core. */
    readonly cores: number;
    /** Resident memory in megabytes (10^6 bytes). */
    readonly residentMegabytes: number;
    /** Requests per second for the state of endpoints, and their bytes per second in both directions. */
    readonly questionsPerSecond: number;
    readonly questionBytesPerSecond: number;
}

/** Resource usage of an entry without caller traffic, as a function of several sizes. */
export interface EntrySlopes {
    /** Resident memory of Node.js with an empty script, in megabytes. */
    readonly emptyNodeMegabytes: number;
    /** Resident memory of an entry before its first manifest, in megabytes. */
    readonly emptyEntryMegabytes: number;
    readonly costs: readonly EntryCost[];
    readonly megabytesPerTeam: LinearFit;
    /** Cores by key changes per second, at the largest number of teams. */
    readonly coresPerChangeRate: LinearFit;
    /** Cores by number of teams, at five key changes per second. */
    readonly coresPerTeam: LinearFit;
    readonly coresPerEndpoint: LinearFit;
    readonly megabytesPerEndpoint: LinearFit;
    /** Cores by requests per second for the state of endpoints. */
    readonly coresPerQuestionRate: LinearFit;
    /** Bytes per second by requests per second for the state of endpoints. */
    readonly bytesPerQuestionRate: LinearFit;
}

/** Measures one real entry that is connected to three real control processes. */
export async function measureEntrySlopes(clock: Clock): Promise<EntrySlopes> {
    const emptyNodeMegabytes = await measureEmptyNode(clock);
    await using endpointServer = new FakeEndpointServer();
    const endpointAddress = await endpointServer.start();
    const teamCosts: EntryCost[] = [];
    let emptyEntryMegabytes = 0;
    for (const teams of teamCounts) {
        await using cluster = new Cluster(1);
        await cluster.start();
        emptyEntryMegabytes = await residentMegabytes(cluster);
        const measured = new MeasuredCluster(cluster, clock);
        await measured.submitManifest(number =>
            createSyntheticManifest({ number, teams, pools: poolCount, endpoints: 0 })
        );
        await clock.sleep(settleTime);
        for (const keyChangesPerSecond of keyChangeRates) {
            teamCosts.push(
                await measureEntry(measured, endpointServer, {
                    teams,
                    endpoints: 0,
                    keyChangesPerSecond,
                }, clock),
            );
        }
    }
    const endpointCosts: EntryCost[] = [];
    for (const count of endpointCounts) {
        await using cluster = new Cluster(1);
        await cluster.start();
        const measured = new MeasuredCluster(cluster, clock);
        const shape = { teams: 1000, pools: poolCount, endpoints: count, endpointAddress };
        await measured.submitManifest(number => createSyntheticManifest({ number, ...shape }));
        await clock.sleep(settleTime);
        endpointCosts.push(
            await measureEntry(
                measured,
                endpointServer,
                { teams: 1000, endpoints: count, keyChangesPerSecond: 0 },
                clock,
            ),
        );
    }
    return { emptyNodeMegabytes, emptyEntryMegabytes, ...fitCosts(teamCosts, endpointCosts) };
}

interface EntryLoad {
    readonly teams: number;
    readonly endpoints: number;
    readonly keyChangesPerSecond: number;
}

async function measureEntry(
    measured: MeasuredCluster,
    endpointServer: FakeEndpointServer,
    load: EntryLoad,
    clock: Clock,
): Promise<EntryCost> {
    const processId = measured.cluster.entries[0]?.startedProgram.processId ?? 0;
    const before = { requestCount: endpointServer.requestCount, byteCount: endpointServer.byteCount };
    const usage = await measureUsage(processId, clock, async () => {
        await issueKeysAtRate(measured, clock, load.keyChangesPerSecond, measurementSeconds);
    });
    return {
        teams: load.teams,
        endpoints: load.endpoints,
        changesPerSecond: load.keyChangesPerSecond,
        cores: usage.cores,
        residentMegabytes: usage.residentMegabytes,
        questionsPerSecond: (endpointServer.requestCount - before.requestCount) / usage.seconds,
        questionBytesPerSecond: (endpointServer.byteCount - before.byteCount) / usage.seconds,
    };
}

async function residentMegabytes(cluster: Cluster): Promise<number> {
    return (await readProcessUsage(cluster.entries[0]?.startedProgram.processId ?? 0)).residentBytes / 1e6;
}

async function measureEmptyNode(clock: Clock): Promise<number> {
    const child = spawn(process.execPath, ["-e", "setInterval(() => undefined, 1000)"], { stdio: "ignore" });
    await clock.sleep(settleTime);
    const usage = await readProcessUsage(child.pid ?? 0);
    child.kill("SIGKILL");
    await once(child, "exit");
    return usage.residentBytes / 1e6;
}

function fitCosts(
    teamCosts: readonly EntryCost[],
    endpointCosts: readonly EntryCost[],
): Omit<EntrySlopes, "emptyNodeMegabytes" | "emptyEntryMegabytes"> {
    const teamsOf = (cost: EntryCost): number => cost.teams;
    const endpointsOf = (cost: EntryCost): number => cost.endpoints;
    const coresOf = (cost: EntryCost): number => cost.cores;
    const maximumTeamCount = Math.max(...teamCounts);
    const requestRateOf = (cost: EntryCost): number => cost.questionsPerSecond;
    return {
        costs: [...teamCosts, ...endpointCosts],
        megabytesPerTeam: fitMeasurements(
            teamCosts.filter(cost => cost.changesPerSecond === 0),
            teamsOf,
            cost => cost.residentMegabytes,
        ),
        coresPerChangeRate: fitMeasurements(
            teamCosts.filter(cost => cost.teams === maximumTeamCount),
            cost => cost.changesPerSecond,
            coresOf,
        ),
        coresPerTeam: fitMeasurements(
            teamCosts.filter(cost => cost.changesPerSecond === keyChangeRates[1]),
            teamsOf,
            coresOf,
        ),
        coresPerEndpoint: fitMeasurements(endpointCosts, endpointsOf, coresOf),
        megabytesPerEndpoint: fitMeasurements(endpointCosts, endpointsOf, cost => cost.residentMegabytes),
        coresPerQuestionRate: fitMeasurements(endpointCosts, requestRateOf, coresOf),
        bytesPerQuestionRate: fitMeasurements(endpointCosts, requestRateOf, cost => cost.questionBytesPerSecond),
    };
}
