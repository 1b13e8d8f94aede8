import { TimeHistogram } from "../../process/metrics/timeHistogram.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { readProcessUsage } from "../processUsage.js";
import type { BenchClient } from "./benchClient.js";

/** Random seed of the arrival times. */
const arrivalSeed = 7;

/** Result of a closed-loop measurement. */
export interface Throughput {
    readonly requestsPerSecond: number;
    /** Processor time of the proxy or entry for each request; 0 on the direct path. */
    readonly processorTimePerRequest: Milliseconds;
}

/** Measures a path with a closed loop: each of a number of callers sends its next request when the last one ends. */
export async function measureThroughput(
    client: BenchClient,
    clock: Clock,
    load: { readonly callers: number; readonly answerTokens: number; readonly duration: Milliseconds; },
): Promise<Throughput> {
    const { processId } = client.path;
    const processorTimeBefore = await readProcessorTime(processId);
    const startedAt = clock.now();
    let completedRequests = 0;
    const runCaller = async (): Promise<void> => {
        while (clock.now() - startedAt < load.duration) {
            await client.send(load.answerTokens);
            completedRequests++;
        }
    };
    await Promise.all(Array.from({ length: load.callers }, runCaller));
    const requestsPerSecond = (completedRequests * 1000) / (clock.now() - startedAt);
    const processorTimeUsed = await readProcessorTime(processId) - processorTimeBefore;
    return { requestsPerSecond, processorTimePerRequest: processorTimeUsed / completedRequests };
}

/**
 * Measures a path with an open loop: requests arrive as a Poisson process, independently of earlier responses. Returns the
 * total times of the requests, in milliseconds.
 */
export async function measureLatency(
    client: BenchClient,
    clock: Clock,
    load: { readonly requestsPerSecond: number; readonly answerTokens: number; readonly duration: Milliseconds; },
): Promise<TimeHistogram> {
    const random = new RandomSource(arrivalSeed);
    const histogram = new TimeHistogram();
    const startedAt = clock.now();
    const pending: Promise<void>[] = [];
    const send = async (): Promise<void> => {
        const sentAt = clock.now();
        await client.send(load.answerTokens);
        histogram.record(clock.now() - sentAt);
    };
    const meanInterval = 1000 / load.requestsPerSecond;
    for (
        let arrivalTime = random.exponential(meanInterval);
        arrivalTime < load.duration;
        arrivalTime += random.exponential(meanInterval)
    ) {
        const delay = startedAt + arrivalTime - clock.now();
        if (delay > 1) {
            await clock.sleep(delay);
        }
        pending.push(send());
    }
    await Promise.all(pending);
    return histogram;
}

/**
 * Measures the times between consecutive tokens of concurrent streams, in milliseconds; the time to the first token of a
 * stream is not recorded. The starts of the streams are distributed evenly over `spread`.
 */
export async function measureStreams(
    client: BenchClient,
    clock: Clock,
    load: { readonly streams: number; readonly answerTokens: number; readonly spread: Milliseconds; },
): Promise<TimeHistogram> {
    const histogram = new TimeHistogram();
    const runStream = async (index: number): Promise<void> => {
        await clock.sleep((index * load.spread) / load.streams);
        let lastTokenAt: Milliseconds | undefined;
        await client.send(load.answerTokens, count => {
            const now = clock.now();
            for (let token = 0; token < count; token++) {
                if (lastTokenAt !== undefined) {
                    histogram.record(now - lastTokenAt);
                }
                lastTokenAt = now;
            }
        });
    };
    await Promise.all([...Array(load.streams).keys()].map(runStream));
    return histogram;
}

async function readProcessorTime(processId: number | undefined): Promise<Milliseconds> {
    return processId === undefined ? 0 : (await readProcessUsage(processId)).cpuTime;
}
