/**
 * `npm run bench:overhead`: measures the overhead of an entry compared with direct requests and a pass-through proxy, and
 * prints the results as JSON.
 *
 * Each value is measured in rounds that alternate between the paths, so that a change in machine load affects all paths.
 */
import { availableParallelism, loadavg } from "node:os";
import { SystemClock } from "../../util/clock.js";
import type { Milliseconds } from "../../util/clock.js";
import { BenchClient } from "./benchClient.js";
import type { BenchPath } from "./benchClient.js";
import { BenchSetup } from "./benchSetup.js";
import { measureLatency, measureStreams, measureThroughput } from "./measurements.js";
import { entryOverhead, median, summariseRounds } from "./roundStatistics.js";

const rounds = 5;
const warmUpDuration: Milliseconds = 1_000;
const throughputLoad = { callers: 256, answerTokens: 8, duration: 2_000 };
const latencyDuration: Milliseconds = 3_000;
const streamLoad = { streams: 1_000, answerTokens: 120, spread: 500 };

/** Time between two tokens in the throughput and latency measurements, in milliseconds. */
const shortTokenInterval: Milliseconds = 1;

/** Time between two tokens of a stream at 20 tokens a second, in milliseconds. */
const streamTokenInterval: Milliseconds = 50;

/** Rounds of the stream measurement; fewer than the others, because it takes longest. */
const streamRounds = 3;

type RoundsByPath<Value> = Readonly<Record<BenchPath["name"], readonly Value[]>>;

const clock = new SystemClock();

/** Takes one measurement on each path in each round. */
async function measureInRounds<Value>(
    count: number,
    paths: readonly BenchPath[],
    key: string,
    measure: (client: BenchClient) => Promise<Value>,
): Promise<RoundsByPath<Value>> {
    const valuesByPath = { direct: [] as Value[], proxy: [] as Value[], entry: [] as Value[] };
    for (let round = 0; round < count; round++) {
        for (const path of paths) {
            using client = new BenchClient(path, key);
            valuesByPath[path.name].push(await measure(client));
        }
    }
    return valuesByPath;
}

function mapRounds<Value>(valuesByPath: RoundsByPath<Value>, select: (value: Value) => number): RoundsByPath<number> {
    const { direct, proxy, entry } = valuesByPath;
    return { direct: direct.map(select), proxy: proxy.map(select), entry: entry.map(select) };
}

async function measureRequests(): Promise<object> {
    await using setup = new BenchSetup();
    const paths = await setup.start(shortTokenInterval);
    await measureInRounds(
        1,
        paths,
        setup.key,
        client => measureThroughput(client, clock, { ...throughputLoad, duration: warmUpDuration }),
    );
    const throughputRounds = await measureInRounds(
        rounds,
        paths,
        setup.key,
        client => measureThroughput(client, clock, throughputLoad),
    );
    const throughput = mapRounds(throughputRounds, result => result.requestsPerSecond);
    const processorTime = mapRounds(throughputRounds, result => result.processorTimePerRequest);
    const requestsPerSecond = median(throughput.entry) / 2;
    const { answerTokens } = throughputLoad;
    const load = { requestsPerSecond, answerTokens, duration: latencyDuration };
    const latency = await measureInRounds(
        rounds,
        paths,
        setup.key,
        async client => (await measureLatency(client, clock, load)).quantile(0.99),
    );
    return {
        throughput: {
            unit: "requests/s",
            ...summariseRounds(throughput),
            entryOverProxy: median(throughput.entry) / median(throughput.proxy),
            target: 0.6,
        },
        processor: {
            unit: "ms of processor time for each request",
            proxy: median(processorTime.proxy),
            entry: median(processorTime.entry),
            proxyOverEntry: median(processorTime.proxy) / median(processorTime.entry),
        },
        halfLoad: {
            unit: "ms at the 99th percentile",
            requestsPerSecond,
            ...summariseRounds(latency),
            addedOverProxy: entryOverhead(latency),
            target: 2,
        },
    };
}

async function measureTokenGaps(): Promise<object> {
    await using setup = new BenchSetup();
    const paths = await setup.start(streamTokenInterval);
    const tokenGaps = await measureInRounds(
        streamRounds,
        paths,
        setup.key,
        async client => (await measureStreams(client, clock, streamLoad)).quantile(0.95),
    );
    return {
        streams: {
            unit: "ms between tokens at the 95th percentile",
            ...streamLoad,
            ...summariseRounds(tokenGaps),
            addedOverProxy: entryOverhead(tokenGaps),
            target: 5,
        },
    };
}

/** Describes the load of the machine; results from a machine with other load are not reliable. */
function machineLoad(): object {
    return { processors: availableParallelism(), loadAverages: loadavg() };
}

const before = machineLoad();
const report = { rounds, ...await measureRequests(), ...await measureTokenGaps(), before, after: machineLoad() };
process.stdout.write(`${JSON.stringify(report, undefined, 4)}\n`);
