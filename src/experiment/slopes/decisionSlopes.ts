import { EndpointGroup } from "../../process/entry/endpointGroup.js";
import { EndpointState } from "../../process/entry/endpointState.js";
import { selectEndpointSubset } from "../../process/entry/endpointSubset.js";
import { TieredQueue } from "../../request/admission/tieredQueue.js";
import type { PendingRequest } from "../../request/pendingRequest.js";
import { AffinityChooser } from "../../request/routing/affinityChooser.js";
import { PrefixCacheIndex } from "../../request/routing/prefixCacheIndex.js";
import type { Clock } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { manifestSchema } from "../../version/manifest.js";
import type { ManifestEndpoint, RequestClass } from "../../version/manifest.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";
import { createSyntheticManifest, syntheticTeamName } from "./syntheticManifest.js";

const endpointCounts = [128, 1000, 10_000];
const teamCounts = [1000, 6000, 18_000];
const queuedRequests = 2000;
const requestIterations = 20_000;
const configurationIterations = 20;
const seed = 7;
const microsecondsPerMillisecond = 1000;

/** Mean time of one decision at one size, in microseconds. */
export interface DecisionCost {
    readonly size: number;
    readonly microseconds: number;
}

/** Times of one kind of decision as a function of its size. */
export interface DecisionSlope {
    readonly costs: readonly DecisionCost[];
    readonly fit: LinearFit;
}

/** Mean times of decisions at several sizes, in microseconds. */
export interface DecisionSlopes {
    /** Choosing an endpoint for a request and recording its start and end, by number of endpoints in a group. */
    readonly choice: DecisionSlope;
    /** Adding a request to a queue with a backlog in six tiers, taking one and completing it, by number of teams. */
    readonly admission: DecisionSlope;
    /** Compiling a configuration, by number of teams. */
    readonly compilation: DecisionSlope;
    /** Choosing an entry's subset of a pool, by number of endpoints in the pool. */
    readonly subset: DecisionSlope;
}

/** Measures the decisions in this process, without a network. */
export function measureDecisionSlopes(clock: Clock): DecisionSlopes {
    return {
        choice: measureSlope(endpointCounts, size => measureEndpointChoice(size, clock)),
        admission: measureSlope(teamCounts, size => measureAdmission(size, clock)),
        compilation: measureSlope(teamCounts, size => measureCompilation(size, clock)),
        subset: measureSlope(endpointCounts, size => measureSubsetChoice(size, clock)),
    };
}

/** Creates endpoint descriptions for measurements in this process. */
export function createEndpoints(count: number): readonly ManifestEndpoint[] {
    return [...Array(count).keys()].map(index => ({
        name: `endpoint-${index}`,
        address: "127.0.0.1:1",
        failureDomain: `domain-${index % 19}`,
        cheap: false,
    }));
}

/** Creates a request for measurements in this process. */
export function createRequest(number: number, team: string, tier: number, arrivedAt: number): PendingRequest {
    return {
        id: String(number),
        team,
        keyName: "main",
        requestClass: createRequestClass(tier),
        pool: "pool-0",
        arrivedAt,
        promptTokens: 500,
        maximumOutputTokens: 400,
        affinityDigest: "",
        idempotent: true,
    };
}

function createRequestClass(tier: number): RequestClass {
    return {
        name: `tier-${tier}`,
        tier,
        weight: 1,
        target: { totalMilliseconds: 3_600_000 },
        preemptible: false,
        maximumOutputTokens: 4096,
    };
}

function measureSlope(sizes: readonly number[], measureMicroseconds: (size: number) => number): DecisionSlope {
    const costs = sizes.map(size => ({ size, microseconds: measureMicroseconds(size) }));
    return { costs, fit: fitMeasurements(costs, cost => cost.size, cost => cost.microseconds) };
}

/** Returns the mean time of one run in microseconds, measured after the same number of warm-up runs. */
function meanMicroseconds(clock: Clock, runs: number, action: (run: number) => void): number {
    for (let run = 0; run < runs; run++) {
        action(run);
    }
    const startedAt = clock.now();
    for (let run = runs; run < runs * 2; run++) {
        action(run);
    }
    return ((clock.now() - startedAt) * microsecondsPerMillisecond) / runs;
}

function measureEndpointChoice(size: number, clock: Clock): number {
    const group = new EndpointGroup({ model: undefined, version: undefined, adapter: undefined });
    const states = createEndpoints(size).map(description =>
        new EndpointState(description, "pool-0", 64, endpoint => {
            group.update(endpoint);
        })
    );
    group.setMembers(states);
    const chooser = new AffinityChooser(new RandomSource(seed), new PrefixCacheIndex());
    return meanMicroseconds(clock, requestIterations, run => {
        const endpoint = chooser.choose(group, createRequest(run, "team-0", run % 6, run));
        endpoint?.start(run);
        endpoint?.finish(run);
    });
}

function measureAdmission(teams: number, clock: Clock): number {
    const queue = new TieredQueue();
    const random = new RandomSource(seed);
    const capacity = { freeSlots: 1, tokensPerSecond: 1e9, requestsPerSecond: 1e7 };
    const offer = (number: number): void => {
        const team = syntheticTeamName(random.integer(0, teams - 1));
        queue.offer(createRequest(number, team, random.integer(0, 5), 0), capacity, 0);
    };
    for (let number = 0; number < queuedRequests; number++) {
        offer(number);
    }
    return meanMicroseconds(clock, requestIterations, run => {
        offer(run + queuedRequests);
        const admitted = queue.take(capacity, 0);
        if (admitted !== undefined) {
            const usage = { promptTokens: 500, cachedTokens: 0, outputTokens: 200, serviceTime: 4000 };
            queue.complete(admitted, usage);
        }
    });
}

function measureCompilation(teams: number, clock: Clock): number {
    const shape = { number: 1, teams, pools: 16, endpoints: 10_000 };
    const manifest = manifestSchema.parse(createSyntheticManifest(shape));
    return meanMicroseconds(clock, configurationIterations, run => {
        new CompiledConfiguration({ version: run, manifest, issuedKeys: [] });
    });
}

function measureSubsetChoice(size: number, clock: Clock): number {
    const endpoints = createEndpoints(size);
    return meanMicroseconds(clock, configurationIterations, run => {
        selectEndpointSubset(endpoints, `entry-${run}`);
    });
}
