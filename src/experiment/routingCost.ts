/** Measures the time of one choice of an endpoint, by chooser and size of the pool; prints JSON. */
import { build } from "hdr-histogram-js";
import { performance } from "node:perf_hooks";
import { EndpointTable } from "../process/entry/endpointTable.js";
import type { EndpointChooser } from "../request/endpointChooser.js";
import type { PendingRequest } from "../request/pendingRequest.js";
import { AffinityChooser } from "../request/routing/affinityChooser.js";
import { LeastOutstandingChooser } from "../request/routing/leastOutstandingChooser.js";
import { PrefixCacheIndex } from "../request/routing/prefixCacheIndex.js";
import { RoundRobinChooser } from "../request/routing/roundRobinChooser.js";
import { RandomSource } from "../util/randomSource.js";

/** Endpoints of the pools that are compared. */
const poolSizes = [10, 128, 1_000, 10_000];

/** Choices before the measurement begins. */
const warmUp = 5_000;

/** Choices that are measured. */
const measured = 50_000;

/** Prefixes among which the requests are spread. */
const prefixes = 2_000;

/** Requests at one endpoint at a time. */
const capacity = 32;

/** Part of the slots that is busy during the measurement. */
const busyPart = 0.6;

const requirement = { model: undefined, version: undefined, adapter: undefined };

interface CostLine {
    readonly chooser: string;
    readonly endpoints: number;
    readonly medianMicroseconds: number;
    readonly p99Microseconds: number;
    readonly maximumMicroseconds: number;
}

const choosers: readonly [name: string, create: () => EndpointChooser][] = [
    ["affinity", () => new AffinityChooser(new RandomSource(1), new PrefixCacheIndex())],
    ["leastOutstanding", () => new LeastOutstandingChooser()],
    ["roundRobin", () => new RoundRobinChooser()],
];

const lines = choosers.flatMap(([name, create]) => poolSizes.map(size => measure(name, create(), size)));
console.log(JSON.stringify({ measured, busyPart, lines }, undefined, 2));

function measure(chooser: string, choosing: EndpointChooser, endpoints: number): CostLine {
    const random = new RandomSource(7);
    const table = createTable(endpoints);
    const group = table.groupFor(requirement);
    const running = fill(table, random);
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (let count = 0; count < warmUp + measured; count++) {
        const request = createRequest(count, random);
        const before = performance.now();
        const chosen = choosing.choose(group, request, count);
        chosen?.start(count);
        const nanoseconds = (performance.now() - before) * 1e6;
        if (count >= warmUp) {
            histogram.recordValue(Math.round(nanoseconds));
        }
        running.push(() => chosen?.finish(count));
        const index = random.integer(0, running.length - 1);
        running[index]?.();
        running[index] = running.at(-1) ?? (() => undefined);
        running.pop();
    }
    return {
        chooser,
        endpoints,
        medianMicroseconds: histogram.getValueAtPercentile(50) / 1_000,
        p99Microseconds: histogram.getValueAtPercentile(99) / 1_000,
        maximumMicroseconds: histogram.maxValue / 1_000,
    };
}

function createTable(size: number): EndpointTable {
    const silent = { setAside: (): undefined => undefined, returned: (): undefined => undefined };
    const table = new EndpointTable("pool", new RandomSource(1), silent);
    const descriptions = Array.from(Array(size).keys(), index => ({
        name: `engine-${index}`,
        address: `127.0.0.1:${index + 1}`,
        failureDomain: "hobart-a",
        cheap: index % 2 === 0,
    }));
    table.setEndpoints(descriptions, capacity);
    return table;
}

/** Starts requests at random endpoints; returns how each is ended. */
function fill(table: EndpointTable, random: RandomSource): (() => void)[] {
    const running: (() => void)[] = [];
    while (running.length < table.all.length * capacity * busyPart) {
        const endpoint = table.all[random.integer(0, table.all.length - 1)];
        if (endpoint !== undefined && endpoint.freeSlots > 0) {
            endpoint.start(0);
            running.push(() => {
                endpoint.finish(0);
            });
        }
    }
    return running;
}

function createRequest(number: number, random: RandomSource): PendingRequest {
    const tier = random.integer(0, 5);
    return {
        id: `r${number}`,
        team: "team",
        keyName: "key",
        requestClass: {
            name: `class-${tier}`,
            tier,
            weight: 1,
            target: { totalMilliseconds: 10_000 },
            preemptible: false,
            maximumOutputTokens: 100,
        },
        pool: "pool",
        arrivedAt: number,
        promptTokens: 500,
        maximumOutputTokens: 100,
        prefixDigest: `prefix-${random.integer(0, prefixes - 1)}`,
        idempotent: true,
    };
}
