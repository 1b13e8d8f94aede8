import { spawn } from "node:child_process";
import { once } from "node:events";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { readProcessUsage } from "../processUsage.js";
import { issueKeysAtRate } from "./keyChanges.js";
import type { LinearFit } from "./linearFit.js";
import { fitOf } from "./linearFit.js";
import { ReportingEndpoints } from "./reportingEndpoints.js";
import { slopeManifest } from "./slopeManifest.js";
import { usageWhile } from "./usageSpan.js";

/** Numbers of teams, without endpoints. */
const teamCounts = [1000, 6000, 18_000];

/** Numbers of endpoints over sixteen pools. */
const endpointCounts = [160, 1600, 10_000];

/** Changes of keys a second. */
const changeRates = [0, 5, 20];

const pools = 16;
const spanSeconds = 4;
const settleTime: Milliseconds = 2000;

/** What an entry without traffic costs. */
export interface EntryCost {
    readonly teams: number;
    readonly endpoints: number;
    readonly changesPerSecond: number;
    readonly cores: number;
    readonly residentMegabytes: number;
    /** Questions a second that it asks endpoints, and the bytes a second both ways. */
    readonly questionsPerSecond: number;
    readonly questionBytesPerSecond: number;
}

/** Cost of an entry without traffic. */
export interface EntrySlopes {
    /** Resident memory of Node.js with an empty script, in megabytes. */
    readonly emptyNodeMegabytes: number;
    /** Resident memory of an entry before its first manifest, in megabytes. */
    readonly emptyEntryMegabytes: number;
    readonly costs: readonly EntryCost[];
    readonly megabytesPerTeam: LinearFit;
    /** Cores against changes a second, at the largest number of teams. */
    readonly coresPerChangeRate: LinearFit;
    /** At five changes a second. */
    readonly coresPerTeam: LinearFit;
    readonly coresPerEndpoint: LinearFit;
    readonly megabytesPerEndpoint: LinearFit;
    /** Cores against questions a second. */
    readonly coresPerQuestionRate: LinearFit;
    readonly bytesPerQuestionRate: LinearFit;
}

/** Measures one real entry behind three real control processes. */
export async function measureEntrySlopes(clock: Clock): Promise<EntrySlopes> {
    const emptyNodeMegabytes = await measureEmptyNode(clock);
    await using endpoints = new ReportingEndpoints();
    const address = await endpoints.start();
    const teamCosts: EntryCost[] = [];
    let emptyEntryMegabytes = 0;
    for (const teams of teamCounts) {
        await using cluster = new Cluster(1);
        await cluster.start();
        emptyEntryMegabytes = await residentMegabytes(cluster);
        const measured = new MeasuredCluster(cluster, clock);
        await measured.submit(number => slopeManifest({ number, teams, pools, endpoints: 0 }));
        await clock.sleep(settleTime);
        for (const rate of changeRates) {
            teamCosts.push(await measureEntry(measured, endpoints, { teams, endpoints: 0, rate }, clock));
        }
    }
    const endpointCosts: EntryCost[] = [];
    for (const count of endpointCounts) {
        await using cluster = new Cluster(1);
        await cluster.start();
        const measured = new MeasuredCluster(cluster, clock);
        const shape = { teams: 1000, pools, endpoints: count, endpointAddress: address };
        await measured.submit(number => slopeManifest({ number, ...shape }));
        await clock.sleep(settleTime);
        endpointCosts.push(await measureEntry(measured, endpoints, { teams: 1000, endpoints: count, rate: 0 }, clock));
    }
    return { emptyNodeMegabytes, emptyEntryMegabytes, ...fitsOf(teamCosts, endpointCosts) };
}

interface EntryLoad {
    readonly teams: number;
    readonly endpoints: number;
    readonly rate: number;
}

async function measureEntry(
    measured: MeasuredCluster,
    endpoints: ReportingEndpoints,
    load: EntryLoad,
    clock: Clock,
): Promise<EntryCost> {
    const processId = measured.cluster.entries[0]?.started.processId ?? 0;
    const before = { questions: endpoints.questions, bytes: endpoints.bytes };
    const span = await usageWhile(processId, clock, async () => {
        await issueKeysAtRate(measured, clock, load.rate, spanSeconds);
    });
    return {
        teams: load.teams,
        endpoints: load.endpoints,
        changesPerSecond: load.rate,
        cores: span.cores,
        residentMegabytes: span.residentMegabytes,
        questionsPerSecond: (endpoints.questions - before.questions) / span.seconds,
        questionBytesPerSecond: (endpoints.bytes - before.bytes) / span.seconds,
    };
}

async function residentMegabytes(cluster: Cluster): Promise<number> {
    return (await readProcessUsage(cluster.entries[0]?.started.processId ?? 0)).residentBytes / 1e6;
}

async function measureEmptyNode(clock: Clock): Promise<number> {
    const child = spawn(process.execPath, ["-e", "setInterval(() => undefined, 1000)"], { stdio: "ignore" });
    await clock.sleep(settleTime);
    const usage = await readProcessUsage(child.pid ?? 0);
    child.kill("SIGKILL");
    await once(child, "exit");
    return usage.residentBytes / 1e6;
}

function fitsOf(
    teamCosts: readonly EntryCost[],
    endpointCosts: readonly EntryCost[],
): Omit<EntrySlopes, "emptyNodeMegabytes" | "emptyEntryMegabytes"> {
    const teamsOf = (cost: EntryCost): number => cost.teams;
    const endpointsOf = (cost: EntryCost): number => cost.endpoints;
    const coresOf = (cost: EntryCost): number => cost.cores;
    const largest = Math.max(...teamCounts);
    const questionsOf = (cost: EntryCost): number => cost.questionsPerSecond;
    return {
        costs: [...teamCosts, ...endpointCosts],
        megabytesPerTeam: fitOf(
            teamCosts.filter(cost => cost.changesPerSecond === 0),
            teamsOf,
            cost => cost.residentMegabytes,
        ),
        coresPerChangeRate: fitOf(
            teamCosts.filter(cost => cost.teams === largest),
            cost => cost.changesPerSecond,
            coresOf,
        ),
        coresPerTeam: fitOf(teamCosts.filter(cost => cost.changesPerSecond === changeRates[1]), teamsOf, coresOf),
        coresPerEndpoint: fitOf(endpointCosts, endpointsOf, coresOf),
        megabytesPerEndpoint: fitOf(endpointCosts, endpointsOf, cost => cost.residentMegabytes),
        coresPerQuestionRate: fitOf(endpointCosts, questionsOf, coresOf),
        bytesPerQuestionRate: fitOf(endpointCosts, questionsOf, cost => cost.questionBytesPerSecond),
    };
}
