/** Measures the time to choose an endpoint, by chooser and pool size; prints the results as JSON. */
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

/** Numbers of endpoints of the compared pools. */
const poolSizes = [10, 128, 1_000, 10_000];

/** Number of choices before the measurement. */
const warmUpChoices = 5_000;

/** Number of measured choices. */
const measuredChoices = 50_000;

/** Number of different prompt prefixes of the requests. */
const prefixCount = 2_000;

/** Number of concurrent requests per endpoint. */
const slotsPerEndpoint = 32;

/** Fraction of slots in use during the measurement. */
const busyFraction = 0.6;

const requirement = { model: undefined, version: undefined, adapter: undefined };

/** Time of one choice with one chooser and pool size. */
interface ChoiceCost {
    readonly chooser: string;
    readonly endpoints: number;
    readonly medianMicroseconds: number;
    readonly p99Microseconds: number;
    readonly maximumMicroseconds: number;
}

const chooserFactories: readonly [name: string, create: () => EndpointChooser][] = [
    ["affinity", () => new AffinityChooser(new RandomSource(1), new PrefixCacheIndex())],
    ["leastOutstanding", () => new LeastOutstandingChooser()],
    ["roundRobin", () => new RoundRobinChooser()],
];

const costs = chooserFactories.flatMap(([name, create]) => poolSizes.map(size => measure(name, create(), size)));
console.log(JSON.stringify({ measured: measuredChoices, busyPart: busyFraction, lines: costs }, undefined, 2));

function measure(chooser: string, endpointChooser: EndpointChooser, endpointCount: number): ChoiceCost {
    const random = new RandomSource(7);
    const table = createTable(endpointCount);
    const group = table.groupFor(requirement);
    const finishActions = startRequests(table, random);
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (let count = 0; count < warmUpChoices + measuredChoices; count++) {
        const request = createRequest(count, random);
        const startedAt = performance.now();
        const endpoint = endpointChooser.choose(group, request, count);
        endpoint?.start(count);
        const nanoseconds = (performance.now() - startedAt) * 1e6;
        if (count >= warmUpChoices) {
            histogram.recordValue(Math.round(nanoseconds));
        }
        finishActions.push(() => endpoint?.finish(count));
        const index = random.integer(0, finishActions.length - 1);
        finishActions[index]?.();
        finishActions[index] = finishActions.at(-1) ?? (() => undefined);
        finishActions.pop();
    }
    return {
        chooser,
        endpoints: endpointCount,
        medianMicroseconds: histogram.getValueAtPercentile(50) / 1_000,
        p99Microseconds: histogram.getValueAtPercentile(99) / 1_000,
        maximumMicroseconds: histogram.maxValue / 1_000,
    };
}

function createTable(size: number): EndpointTable {
    const ignoreEvents = { setAside: (): undefined => undefined, returned: (): undefined => undefined };
    const table = new EndpointTable("pool", new RandomSource(1), ignoreEvents);
    const descriptions = Array.from(Array(size).keys(), index => ({
        name: `engine-${index}`,
        address: `127.0.0.1:${index + 1}`,
        failureDomain: "hobart-a",
        cheap: index % 2 === 0,
    }));
    table.setEndpoints(descriptions, slotsPerEndpoint);
    return table;
}

/** Starts requests on random endpoints; returns one function per request that finishes it. */
function startRequests(table: EndpointTable, random: RandomSource): (() => void)[] {
    const finishActions: (() => void)[] = [];
    while (finishActions.length < table.all.length * slotsPerEndpoint * busyFraction) {
        const endpoint = table.all[random.integer(0, table.all.length - 1)];
        if (endpoint !== undefined && endpoint.freeSlots > 0) {
            endpoint.start(0);
            finishActions.push(() => {
                endpoint.finish(0);
            });
        }
    }
    return finishActions;
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
        affinityDigest: `prefix-${random.integer(0, prefixCount - 1)}`,
        idempotent: true,
    };
}
