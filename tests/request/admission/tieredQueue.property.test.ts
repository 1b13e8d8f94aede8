import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { ListedTeamWeights } from "../../../src/request/admission/teamWeights.js";
import { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import type { PoolCapacity } from "../../../src/request/admissionQueue.js";
import type { PendingRequest } from "../../../src/request/pendingRequest.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";
import { QueueModel } from "./queueModel.js";
import type { Step } from "./queueModel.js";
import { classOf, requestOf } from "./requestBuilder.js";

const maximumLength = 6;

const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
    {
        weight: 8,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("offer" as const),
            tier: fastCheck.integer({ min: 0, max: 5 }),
            team: fastCheck.integer({ min: 0, max: 3 }),
            preemptible: fastCheck.boolean(),
        }),
    },
    {
        weight: 8,
        arbitrary: fastCheck.record({
            kind: fastCheck.constantFrom(
                "take" as const,
                "take" as const,
                "complete" as const,
                "abandon" as const,
                "remove" as const,
                "preempt" as const,
                "sweep" as const,
            ),
        }),
    },
    {
        weight: 1,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("withdraw" as const),
            team: fastCheck.integer({ min: 0, max: 3 }),
        }),
    },
    {
        weight: 2,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("pass" as const),
            time: fastCheck.integer({ min: 1, max: 4_000 }),
        }),
    },
);

describe("TieredQueue", () => {
    describe("over any sequence of operations", () => {
        it("sheds lower tiers first, and takes or refuses every request exactly once", t => {
            const rates = fastCheck.record({
                requestsPerSecond: fastCheck.constantFrom(0.2, 2, 50),
                tokensPerSecond: fastCheck.constantFrom(0, 20, 5_000),
                freeSlots: fastCheck.constant(0),
            });
            const history = fastCheck.array(step, { minLength: 20, maxLength: 120 });
            const property = fastCheck.property(history, rates, (steps, capacity) => {
                assert.deepEqual(runHistory(steps, capacity), []);
            });
            t.notThrows(() => {
                fastCheck.assert(property, { seed: 11, numRuns: 600, includeErrorInReport: true });
            });
        });
    });

    describe("lower tiers", () => {
        it("never cause the refusal of a request of a higher tier", t => {
            const offers = fastCheck.array(
                fastCheck.record({
                    tier: fastCheck.integer({ min: 0, max: 5 }),
                    team: fastCheck.integer({ min: 0, max: 3 }),
                    pause: fastCheck.constantFrom(0, 0, 30, 200),
                    takes: fastCheck.boolean(),
                }),
                { minLength: 10, maxLength: 80 },
            );
            const rate = fastCheck.constantFrom(0.5, 2, 10);
            const property = fastCheck.property(offers, fastCheck.nat({ max: 4 }), rate, (history, tier, perSecond) => {
                const withLower = refusedThroughTier(tier, history, 5, perSecond);
                const without = refusedThroughTier(tier, history, tier, perSecond);
                assert.deepEqual(withLower.filter(id => !without.includes(id)), []);
            });
            t.notThrows(() => {
                fastCheck.assert(property, { seed: 14, numRuns: 1_000, includeErrorInReport: true });
            });
        });
    });

    describe("shares of service", () => {
        it("converge to the weights of the teams, regardless of output lengths", t => {
            const weights = fastCheck.integer({ min: 1, max: 5 });
            const property = fastCheck.property(fastCheck.integer(), weights, (seed, weight) => {
                const tokens = serveBacklog(seed, new Map([["team-0", 1], ["team-1", weight]]));
                const ratio = (tokens.get("team-1") ?? 0) / (tokens.get("team-0") ?? 1);
                assert.ok(Math.abs(ratio / weight - 1) < 0.1, `${ratio} instead of ${weight}`);
            });
            t.notThrows(() => {
                fastCheck.assert(property, { seed: 12, numRuns: 20 });
            });
        });
    });

    describe("service floor", () => {
        it("serves every waiting class within 30 s under a continuous load of the highest tier", t => {
            const rate = fastCheck.integer({ min: 1, max: 20 });
            const tiers = fastCheck.uniqueArray(fastCheck.integer({ min: 1, max: 5 }), { minLength: 1 });
            const property = fastCheck.property(rate, tiers, (perSecond, lowerTiers) => {
                assert.ok(longestTimeWithoutService(perSecond, lowerTiers) <= 30_000);
            });
            t.notThrows(() => {
                fastCheck.assert(property, { seed: 13, numRuns: 30 });
            });
        });
    });
});

interface Offer {
    readonly tier: number;
    readonly team: number;
    /** Time since the previous offer, in milliseconds. */
    readonly pause: number;
    /** Whether a request is taken after the offer. */
    readonly takes: boolean;
}

/** Offers the requests of tiers 0 to `lowestOffered`; returns the ids of the refused ones of tiers 0 to `tier`. */
function refusedThroughTier(
    tier: number,
    history: readonly Offer[],
    lowestOffered: number,
    requestsPerSecond: number,
): readonly string[] {
    const queue = new TieredQueue({ maximumLength: 20 });
    const capacity = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond };
    const refused: string[] = [];
    let now = 0;
    history.forEach((offer, index) => {
        now += offer.pause;
        if (offer.tier > lowestOffered) {
            return;
        }
        const request = requestOf(`${index}`, classOf(offer.tier), { team: `team-${offer.team}`, arrivedAt: now });
        const refusals = queue.offer(request, capacity, now);
        refused.push(
            ...refusals.filter(refusal => refusal.request.requestClass.tier <= tier).map(refusal => refusal.request.id),
        );
        if (offer.takes && offer.tier <= tier) {
            queue.take({ ...capacity, freeSlots: 1 }, now);
        }
    });
    return refused;
}

/** Serves teams with a constant backlog, 8 requests at a time; returns the tokens served by team. */
function serveBacklog(seed: number, weights: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const random = new RandomSource(seed);
    const queue = new TieredQueue({ weights: new ListedTeamWeights(weights) });
    const longTarget = classOf(1, { target: { totalMilliseconds: 1e9 }, maximumOutputTokens: 10_000 });
    const capacity = { freeSlots: 1, tokensPerSecond: 1_000, requestsPerSecond: 10 };
    const tokens = new Map<string, number>();
    const running: PendingRequest[] = [];
    const offer = (team: string, number: number): void => {
        const request = requestOf(`${team}-${number}`, longTarget, { team, maximumOutputTokens: 10_000 });
        queue.offer(request, capacity, 0);
    };
    [...weights.keys()].forEach(team => {
        for (let number = 0; number < 20; number += 1) {
            offer(team, number);
        }
    });
    for (let round = 0; round < 4_000; round += 1) {
        const taken = queue.take(capacity, round);
        if (taken?.team === undefined) {
            break;
        }
        running.push(taken);
        offer(taken.team, 1_000 + round);
        const ended = running.length > 8 ? running.shift() : undefined;
        if (ended?.team !== undefined) {
            const outputTokens = Math.ceil(random.logNormal(ended.team === "team-0" ? 50 : 200, 0.8));
            queue.complete(ended, { promptTokens: 100, cachedTokens: 0, outputTokens, serviceTime: 100 });
            tokens.set(ended.team, (tokens.get(ended.team) ?? 0) + 100 + outputTokens);
        }
    }
    return tokens;
}

/** Serves a continuous load of tier 0; returns the longest time without service of a lower tier, in milliseconds. */
function longestTimeWithoutService(perSecond: number, lowerTiers: readonly number[]): number {
    const queue = new TieredQueue({ maximumLength: 10_000 });
    const capacity = { freeSlots: 1, tokensPerSecond: 0, requestsPerSecond: 1e6 };
    const lastServed = new Map(lowerTiers.map(tier => [tier, 0]));
    const classes = [0, ...lowerTiers].map(tier => classOf(tier, { target: { totalMilliseconds: 1e6 } }));
    let longest = 0;
    for (let round = 0; round < perSecond * 90; round += 1) {
        const now = (round * 1_000) / perSecond;
        classes.forEach(requestClass =>
            queue.offer(requestOf(`${requestClass.tier}-${round}`, requestClass, { arrivedAt: now }), capacity, now)
        );
        const tier = queue.take(capacity, now)?.requestClass.tier ?? 0;
        lastServed.set(tier, now);
        longest = Math.max(longest, ...lowerTiers.map(lower => now - (lastServed.get(lower) ?? 0)));
    }
    return longest;
}

function runHistory(steps: readonly Step[], capacity: PoolCapacity): readonly string[] {
    const queue = new TieredQueue({ maximumLength });
    const model = new QueueModel(queue, maximumLength);
    let now = 0;
    steps.forEach((operation, index) => {
        now += operation.kind === "pass" ? operation.time : 0;
        runStep(operation, index, queue, model, capacity, now);
        if (!model.matchesQueueLength) {
            model.violations.push(
                `after step ${index} the model does not match the queue length ${queue.length}`,
            );
        }
    });
    const withSlots = { ...capacity, freeSlots: 1 };
    while (model.violations.length === 0 && queue.length > 0) {
        model.take(withSlots, now);
    }
    return model.violations;
}

function runStep(
    operation: Step,
    index: number,
    queue: TieredQueue,
    model: QueueModel,
    capacity: PoolCapacity,
    now: number,
): void {
    const use = { promptTokens: 100, cachedTokens: 0, outputTokens: 20 + index, serviceTime: 500 };
    const running = model.requestsIn("running")[index % 3];
    const waiting = model.requestsIn("waiting", "resumable")[index % 4];
    switch (operation.kind) {
        case "offer": {
            const changes = {
                preemptible: operation.preemptible,
                name: `tier-${operation.tier}-${operation.preemptible}`,
            };
            const owner = { team: `team-${operation.team}`, keyName: "key" };
            const request = requestOf(`request-${index}`, classOf(operation.tier, changes), {
                ...owner,
                arrivedAt: now,
            });
            model.offer(request, capacity, now);
            break;
        }
        case "take":
            model.take({ ...capacity, freeSlots: 1 }, now);
            break;
        case "complete":
            if (running !== undefined) {
                queue.complete(running, use);
                model.states.set(running, "ended");
            }
            break;
        case "abandon":
            if (running !== undefined) {
                queue.abandon(running);
                model.states.set(running, "ended");
            }
            break;
        case "remove":
            if (waiting !== undefined) {
                if (!queue.remove(waiting)) {
                    model.violations.push(`${waiting.id} could not be removed`);
                }
                model.states.set(waiting, "ended");
            }
            break;
        case "preempt":
            model.preempt(capacity, now);
            break;
        case "sweep":
            model.refuse(queue.sweep(capacity, now));
            break;
        case "withdraw": {
            const team = `team-${operation.team}`;
            const expected = model.requestsIn("waiting", "resumable").filter(request => request.team === team).length;
            const refusals = queue.withdrawKey(team, "key");
            if (refusals.length !== expected) {
                model.violations.push(`${refusals.length} of ${expected} requests of a withdrawn key were refused`);
            }
            model.refuse(refusals);
            break;
        }
        case "pass":
            break;
    }
}
