import { TimeHistogram } from "../../process/metrics/timeHistogram.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { readProcessUsage } from "../processUsage.js";
import type { BenchClient } from "./benchRequest.js";

/** Seed of the arrival times. */
const seed = 7;

/** What a closed loop of callers saw. */
export interface Throughput {
    readonly requestsPerSecond: number;
    /** Processor time of the process on the way, in milliseconds; 0 where there is none. */
    readonly processorTimePerRequest: Milliseconds;
}

/** Measures a path when a number of callers each send the next request at the end of the last. */
export async function measureThroughput(
    client: BenchClient,
    clock: Clock,
    load: { readonly callers: number; readonly answerTokens: number; readonly duration: Milliseconds; },
): Promise<Throughput> {
    const { processId } = client.path;
    const usedBefore = await processorTime(processId);
    const startedAt = clock.now();
    let answered = 0;
    const call = async (): Promise<void> => {
        while (clock.now() - startedAt < load.duration) {
            await client.send(load.answerTokens);
            answered++;
        }
    };
    await Promise.all(Array.from({ length: load.callers }, call));
    const requestsPerSecond = (answered * 1000) / (clock.now() - startedAt);
    const used = await processorTime(processId) - usedBefore;
    return { requestsPerSecond, processorTimePerRequest: used / answered };
}

/** Times of whole requests that arrive at a rate, whether or not earlier ones were answered. */
export async function measureLatency(
    client: BenchClient,
    clock: Clock,
    load: { readonly requestsPerSecond: number; readonly answerTokens: number; readonly duration: Milliseconds; },
): Promise<TimeHistogram> {
    const random = new RandomSource(seed);
    const histogram = new TimeHistogram();
    const startedAt = clock.now();
    const running: Promise<void>[] = [];
    const send = async (): Promise<void> => {
        const sentAt = clock.now();
        await client.send(load.answerTokens);
        histogram.record(clock.now() - sentAt);
    };
    const gap = 1000 / load.requestsPerSecond;
    for (let due = random.exponential(gap); due < load.duration; due += random.exponential(gap)) {
        const wait = startedAt + due - clock.now();
        if (wait > 1) {
            await clock.sleep(wait);
        }
        running.push(send());
    }
    await Promise.all(running);
    return histogram;
}

/** Times between tokens of a number of streams that run side by side; the first gap of each is left out. */
export async function measureStreams(
    client: BenchClient,
    clock: Clock,
    load: { readonly streams: number; readonly answerTokens: number; readonly spread: Milliseconds; },
): Promise<TimeHistogram> {
    const histogram = new TimeHistogram();
    const stream = async (index: number): Promise<void> => {
        await clock.sleep((index * load.spread) / load.streams);
        let lastAt: Milliseconds | undefined;
        await client.send(load.answerTokens, count => {
            const now = clock.now();
            for (let token = 0; token < count; token++) {
                if (lastAt !== undefined) {
                    histogram.record(now - lastAt);
                }
                lastAt = now;
            }
        });
    };
    await Promise.all([...Array(load.streams).keys()].map(stream));
    return histogram;
}

async function processorTime(processId: number | undefined): Promise<Milliseconds> {
    return processId === undefined ? 0 : (await readProcessUsage(processId)).processorTime;
}
