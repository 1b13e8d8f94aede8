import { endpointSubset, expectedSharers } from "../../process/entry/endpointSubset.js";
import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { createEndpoints } from "./decisionSlopes.js";
import { SimulatedReplicas, simulationStepLength } from "./simulatedReplicas.js";
import { SimulatedEntry } from "./subsetEntry.js";

/** One model in one of eight regions: 710 / 8 entries before 10,000 / 16 / 8 replicas. */
const entryCount = 89;
const replicaCount = 78;

/** Requests that a replica runs at once. */
const slotsPerReplica = 128;

/** 75,000 requests a second over sixteen models and eight regions. */
const requestsPerSecond = 586;

/** Mean time of an answer of 200 tokens at 55 ms each. */
const meanServiceTime: Milliseconds = 11_000;

/** Numbers of replicas that one entry knows. */
const subsetSizes = [4, 8, 16, 32, 78];

/** Intervals between two load reports of a replica to an entry. */
const reportIntervals: readonly Milliseconds[] = [1000, 4000, 16_000];

/** Age of a report when it arrives. */
const reportAge: Milliseconds = 500;

const simulatedDuration: Milliseconds = 60_000;
const warmUpDuration: Milliseconds = 30_000;
const seeds = [1, 2, 3];

/** How evenly requests were spread. */
export interface SubsetBalance {
    readonly subset: number;
    readonly reportInterval: Milliseconds;
    /** Questions a second of one entry for this pool. */
    readonly questionsPerEntry: number;
    /** Highest number of running requests of a replica against the mean, averaged over moments and seeds. */
    readonly highestToMean: number;
    /** The same of the 90th percentile of replicas. */
    readonly percentile90ToMean: number;
    /** Part of requests that found their replica full. */
    readonly partFull: number;
    /** Lowest and highest ratio of the highest to the mean over the seeds. */
    readonly highestToMeanSpread: readonly [number, number];
}

/** Simulates the entries' chooser over subsets of several sizes, at reports of several ages. */
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

/** Runs in steps; entries and replicas start empty and fill during the warm-up. */
function simulate(subset: number, reportInterval: Milliseconds, seed: number): SimulationResult {
    const random = new RandomSource(seed);
    const endpoints = createEndpoints(replicaCount);
    const replicas = new SimulatedReplicas(replicaCount, slotsPerReplica);
    const sharers = expectedSharers(entryCount, replicaCount, subset);
    const entries = [...Array(entryCount).keys()].map(index => {
        const subsetEndpoints = endpointSubset(endpoints, `entry-${seed}-${index}`, subset);
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
