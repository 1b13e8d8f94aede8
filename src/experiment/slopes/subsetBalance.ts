import { expectedEntriesPerEndpoint, selectEndpointSubset } from "../../process/entry/endpointSubset.js";
import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { createEndpoints } from "./decisionSlopes.js";
import { SimulatedEntry } from "./simulatedEntry.js";
import { SimulatedReplicas, simulationStepLength } from "./simulatedReplicas.js";

/** Sizes for one of sixteen models in one of eight regions: 710 / 8 entries in front of 10,000 / 16 / 8 replicas. */
const entryCount = 89;
const replicaCount = 78;

/** Number of requests that a replica can run concurrently. */
const slotsPerReplica = 128;

/** Arrival rate: 75,000 requests per second divided among sixteen models and eight regions. */
const requestsPerSecond = 586;

/** Mean service time of a request, in milliseconds: 200 output tokens at 55 ms each. */
const meanServiceTime: Milliseconds = 11_000;

/** Numbers of replicas in the subset of one entry. */
const subsetSizes = [4, 8, 16, 32, 78];

/** Intervals between two load reports from a replica to an entry, in milliseconds. */
const reportIntervals: readonly Milliseconds[] = [1000, 4000, 16_000];

/** Age of a load report when it arrives, in milliseconds. */
const reportAge: Milliseconds = 500;

const simulatedDuration: Milliseconds = 60_000;
const warmUpDuration: Milliseconds = 30_000;
const seeds = [1, 2, 3];

/** How evenly requests were distributed over the replicas. */
export interface SubsetBalance {
    /** Number of replicas in the subset of one entry. */
    readonly subset: number;
    readonly reportInterval: Milliseconds;
    /** Load report requests per second that one entry sends for this pool. */
    readonly questionsPerEntry: number;
    /** Ratio of the maximum number of running requests of a replica to the mean, averaged over samples and seeds. */
    readonly highestToMean: number;
    /** The same ratio for the 90th percentile of the replicas. */
    readonly percentile90ToMean: number;
    /** Fraction of requests that arrived at a replica without a free slot. */
    readonly partFull: number;
    /** Minimum and maximum over the seeds of `highestToMean`. */
    readonly highestToMeanSpread: readonly [number, number];
}

/** Simulates the entries' endpoint selection with several subset sizes and report intervals. */
export function measureSubsetBalance(): readonly SubsetBalance[] {
    return subsetSizes.flatMap(subset => reportIntervals.map(interval => measureBalance(subset, interval)));
}

function measureBalance(subset: number, reportInterval: Milliseconds): SubsetBalance {
    const runs = seeds.map(seed => simulate(subset, reportInterval, seed));
    const highest = runs.map(run => run.highestToMean);
    return {
        subset,
        reportInterval,
        questionsPerEntry: (subset * 1000) / reportInterval,
        highestToMean: mean(highest),
        percentile90ToMean: mean(runs.map(run => run.percentile90ToMean)),
        partFull: mean(runs.map(run => run.partFull)),
        highestToMeanSpread: [Math.min(...highest), Math.max(...highest)],
    };
}

interface SimulationResult {
    readonly highestToMean: number;
    readonly percentile90ToMean: number;
    readonly partFull: number;
}

/** Simulates one run; the replicas start without requests and reach a steady state during the warm-up. */
function simulate(subset: number, reportInterval: Milliseconds, seed: number): SimulationResult {
    const random = new RandomSource(seed);
    const endpoints = createEndpoints(replicaCount);
    const replicas = new SimulatedReplicas(replicaCount, slotsPerReplica);
    const sharers = expectedEntriesPerEndpoint(entryCount, replicaCount, subset);
    const entries = [...Array(entryCount).keys()].map(index => {
        const subsetEndpoints = selectEndpointSubset(endpoints, `entry-${seed}-${index}`, subset);
        return new SimulatedEntry(subsetEndpoints, slotsPerReplica, sharers, reportInterval, random);
    });
    const highestRatios: number[] = [];
    const percentile90Ratios: number[] = [];
    let nextArrivalAt = random.exponential(1000 / requestsPerSecond);
    for (let now = 0; now < simulatedDuration; now += simulationStepLength) {
        replicas.completeDueRequests(now);
        entries.forEach(entry => {
            entry.receiveReports(replicas, now, reportAge);
        });
        for (; nextArrivalAt <= now; nextArrivalAt += random.exponential(1000 / requestsPerSecond)) {
            const entry = entries[random.integer(0, entryCount - 1)];
            entry?.dispatch(replicas, now, random.exponential(meanServiceTime), now >= warmUpDuration);
        }
        if (now >= warmUpDuration && now % 1000 === 0) {
            highestRatios.push(replicas.quantileToMeanRatio(1));
            percentile90Ratios.push(replicas.quantileToMeanRatio(0.9));
        }
    }
    return {
        highestToMean: mean(highestRatios),
        percentile90ToMean: mean(percentile90Ratios),
        partFull: replicas.requestsAtFullReplica / Math.max(1, replicas.countedRequests),
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
