/**
 * `npm run bench:overhead`: what an entry adds to calls, against straight calls and a bare proxy, as JSON.
 *
 * Each figure is measured in rounds that take the paths by turns, so that a change of the machine meets them all.
 */
import { availableParallelism, loadavg } from "node:os";
import { SystemClock } from "../../util/clock.js";
import type { Milliseconds } from "../../util/clock.js";
import { BenchClient } from "./benchRequest.js";
import type { BenchPath } from "./benchRequest.js";
import { BenchSetup } from "./benchSetup.js";
import { measureLatency, measureStreams, measureThroughput } from "./measurements.js";
import { addedTime, median, spreadOf } from "./spread.js";

const rounds = 5;
const warmUp: Milliseconds = 1_000;
const throughputLoad = { callers: 256, answerTokens: 8, duration: 2_000 };
const latencyDuration: Milliseconds = 3_000;
const streamLoad = { streams: 1_000, answerTokens: 120, spread: 500 };

/** Time between two tokens in the throughput and latency parts, in milliseconds. */
const quickStep: Milliseconds = 1;

/** Time between two tokens of a stream at 20 tokens a second, in milliseconds. */
const streamStep: Milliseconds = 50;

/** Rounds of the stream part, which takes longest. */
const streamRounds = 3;

type Rounds<Figure> = Readonly<Record<BenchPath["name"], readonly Figure[]>>;

const clock = new SystemClock();

/** Takes one figure along each path in each round. */
async function inRounds<Figure>(
    count: number,
    paths: readonly BenchPath[],
    key: string,
    measure: (client: BenchClient) => Promise<Figure>,
): Promise<Rounds<Figure>> {
    const figures = { direct: [] as Figure[], proxy: [] as Figure[], entry: [] as Figure[] };
    for (let round = 0; round < count; round++) {
        for (const path of paths) {
            using client = new BenchClient(path, key);
            figures[path.name].push(await measure(client));
        }
    }
    return figures;
}

function pick<Figure>(figures: Rounds<Figure>, choose: (figure: Figure) => number): Rounds<number> {
    const { direct, proxy, entry } = figures;
    return { direct: direct.map(choose), proxy: proxy.map(choose), entry: entry.map(choose) };
}

async function measureCalls(): Promise<object> {
    await using setup = new BenchSetup();
    const paths = await setup.start(quickStep);
    await inRounds(
        1,
        paths,
        setup.key,
        client => measureThroughput(client, clock, { ...throughputLoad, duration: warmUp }),
    );
    const closedLoops = await inRounds(
        rounds,
        paths,
        setup.key,
        client => measureThroughput(client, clock, throughputLoad),
    );
    const throughput = pick(closedLoops, loop => loop.requestsPerSecond);
    const processor = pick(closedLoops, loop => loop.processorTimePerRequest);
    const requestsPerSecond = median(throughput.entry) / 2;
    const { answerTokens } = throughputLoad;
    const load = { requestsPerSecond, answerTokens, duration: latencyDuration };
    const latency = await inRounds(
        rounds,
        paths,
        setup.key,
        async client => (await measureLatency(client, clock, load)).quantile(0.99),
    );
    return {
        throughput: {
            unit: "requests/s",
            ...spreadOf(throughput),
            entryOverProxy: median(throughput.entry) / median(throughput.proxy),
            target: 0.6,
        },
        processor: {
            unit: "ms of processor time for each request",
            proxy: median(processor.proxy),
            entry: median(processor.entry),
            proxyOverEntry: median(processor.proxy) / median(processor.entry),
        },
        halfLoad: {
            unit: "ms at the 99th percentile",
            requestsPerSecond,
            ...spreadOf(latency),
            addedOverProxy: addedTime(latency),
            target: 2,
        },
    };
}

async function measureTokens(): Promise<object> {
    await using setup = new BenchSetup();
    const paths = await setup.start(streamStep);
    const gaps = await inRounds(
        streamRounds,
        paths,
        setup.key,
        async client => (await measureStreams(client, clock, streamLoad)).quantile(0.95),
    );
    return {
        streams: {
            unit: "ms between tokens at the 95th percentile",
            ...streamLoad,
            ...spreadOf(gaps),
            addedOverProxy: addedTime(gaps),
            target: 5,
        },
    };
}

/** What else the machine does; figures of a busy machine say little. */
function machineLoad(): object {
    return { processors: availableParallelism(), loadAverages: loadavg() };
}

const before = machineLoad();
const report = { rounds, ...await measureCalls(), ...await measureTokens(), before, after: machineLoad() };
process.stdout.write(`${JSON.stringify(report, undefined, 4)}\n`);
