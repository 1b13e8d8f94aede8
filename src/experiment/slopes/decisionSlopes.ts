import { EndpointGroup } from "../../process/entry/endpointGroup.js";
import { EndpointState } from "../../process/entry/endpointState.js";
import { endpointSubset } from "../../process/entry/endpointSubset.js";
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
import { fitOf } from "./linearFit.js";
import { slopeManifest, slopeTeam } from "./slopeManifest.js";

const replicaCounts = [128, 1000, 10_000];
const teamCounts = [1000, 6000, 18_000];
const queueLength = 2000;
const choices = 20_000;
const compilations = 20;
const seed = 7;
const microsecondsPerMillisecond = 1000;

/** Time of one decision at one size, in microseconds. */
export interface DecisionCost {
    readonly size: number;
    readonly microseconds: number;
}

/** Cost of one kind of decision against its size. */
export interface DecisionSlope {
    readonly costs: readonly DecisionCost[];
    readonly fit: LinearFit;
}

/** Costs of decisions at growing sizes; mean times in microseconds. */
export interface DecisionSlopes {
    /** Choosing an endpoint for a request and starting and ending it there, against the endpoints of a group. */
    readonly choice: DecisionSlope;
    /** Offering a request to a full queue of six tiers, taking one and completing it, against teams. */
    readonly admission: DecisionSlope;
    /** Compiling a configuration, against teams. */
    readonly compilation: DecisionSlope;
    /** Choosing an entry's subset of a pool, against its endpoints. */
    readonly subset: DecisionSlope;
}

/** Measures decisions in this process. */
export function measureDecisionSlopes(clock: Clock): DecisionSlopes {
    return {
        choice: slopeOf(replicaCounts, size => timeChoice(size, clock)),
        admission: slopeOf(teamCounts, size => timeAdmission(size, clock)),
        compilation: slopeOf(teamCounts, size => timeCompilation(size, clock)),
        subset: slopeOf(replicaCounts, size => timeSubset(size, clock)),
    };
}

/** Endpoints for measurements in this process. */
export function describeEndpoints(count: number): readonly ManifestEndpoint[] {
    return [...Array(count).keys()].map(index => ({
        name: `endpoint-${index}`,
        address: "127.0.0.1:1",
        failureDomain: `domain-${index % 19}`,
        cheap: false,
    }));
}

/** A request for measurements in this process. */
export function describeRequest(number: number, team: string, tier: number, arrivedAt: number): PendingRequest {
    return {
        id: String(number),
        team,
        keyName: "main",
        requestClass: classOf(tier),
        pool: "pool-0",
        arrivedAt,
        promptTokens: 500,
        maximumOutputTokens: 400,
        prefixDigest: "",
        idempotent: true,
    };
}

function classOf(tier: number): RequestClass {
    return {
        name: `tier-${tier}`,
        tier,
        weight: 1,
        target: { totalMilliseconds: 3_600_000 },
        preemptible: false,
        maximumOutputTokens: 4096,
    };
}

function slopeOf(sizes: readonly number[], measure: (size: number) => number): DecisionSlope {
    const costs = sizes.map(size => ({ size, microseconds: measure(size) }));
    return { costs, fit: fitOf(costs, cost => cost.size, cost => cost.microseconds) };
}

/** Mean time of one run, in microseconds, after as many runs to warm up. */
function meanTime(clock: Clock, runs: number, action: (run: number) => void): number {
    for (let run = 0; run < runs; run++) {
        action(run);
    }
    const start = clock.now();
    for (let run = runs; run < runs * 2; run++) {
        action(run);
    }
    return ((clock.now() - start) * microsecondsPerMillisecond) / runs;
}

function timeChoice(size: number, clock: Clock): number {
    const group = new EndpointGroup({ model: undefined, version: undefined, adapter: undefined });
    const states = describeEndpoints(size).map(description =>
        new EndpointState(description, "pool-0", 64, endpoint => {
            group.update(endpoint);
        })
    );
    group.setMembers(states);
    const chooser = new AffinityChooser(new RandomSource(seed), new PrefixCacheIndex());
    return meanTime(clock, choices, run => {
        const endpoint = chooser.choose(group, describeRequest(run, "team-0", run % 6, run));
        endpoint?.start(run);
        endpoint?.finish(run);
    });
}

function timeAdmission(teams: number, clock: Clock): number {
    const queue = new TieredQueue();
    const random = new RandomSource(seed);
    const capacity = { freeSlots: 1, tokensPerSecond: 1e9, requestsPerSecond: 1e7 };
    const offer = (number: number): void => {
        const team = slopeTeam(random.integer(0, teams - 1));
        queue.offer(describeRequest(number, team, random.integer(0, 5), 0), capacity, 0);
    };
    for (let number = 0; number < queueLength; number++) {
        offer(number);
    }
    return meanTime(clock, choices, run => {
        offer(run + queueLength);
        const taken = queue.take(capacity, 0);
        if (taken !== undefined) {
            const use = { promptTokens: 500, cachedTokens: 0, outputTokens: 200, serviceTime: 4000 };
            queue.complete(taken, use);
        }
    });
}

function timeCompilation(teams: number, clock: Clock): number {
    const shape = { number: 1, teams, pools: 16, endpoints: 10_000 };
    const manifest = manifestSchema.parse(slopeManifest(shape));
    return meanTime(clock, compilations, run => {
        new CompiledConfiguration({ version: run, manifest, issuedKeys: [] });
    });
}

function timeSubset(size: number, clock: Clock): number {
    const endpoints = describeEndpoints(size);
    return meanTime(clock, compilations, run => {
        endpointSubset(endpoints, `entry-${run}`);
    });
}
