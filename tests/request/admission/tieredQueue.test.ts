import { emptySummary, emptyTier } from "../../../src/request/admission/poolSummary.js";
import type { PoolSummary, TierSummary } from "../../../src/request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../../../src/request/admission/remoteLoad.js";
import { ListedTeamWeights } from "../../../src/request/admission/teamWeights.js";
import { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf, tenPerSecondCapacity } from "./requestBuilder.js";

const capacityWithoutSlots = { ...tenPerSecondCapacity, freeSlots: 0 };
const batch = classOf(5, { preemptible: true });

function remoteSummaryWith(tier: number, changes: Partial<TierSummary>): PoolSummary {
    const empty = emptySummary("pool");
    const tiers = empty.tiers.map((summary, index) => index === tier ? { ...emptyTier, ...changes } : summary);
    return { ...empty, entries: 7, tiers };
}

/** Returns a queue of maximum length 2 with two running preemptible requests of the lowest tier. */
function queueRunningBatch(remoteLoad?: SummaryRemoteLoad): TieredQueue {
    const queue = new TieredQueue({ maximumLength: 2, ...remoteLoad === undefined ? {} : { remoteLoad } });
    ["old", "young"].forEach((id, index) => {
        queue.offer(requestOf(id, batch), tenPerSecondCapacity, index);
        queue.take(tenPerSecondCapacity, index);
    });
    return queue;
}

describe("TieredQueue", () => {
    describe("order", () => {
        it("serves tiers in order", t => {
            const queue = new TieredQueue();
            [4, 0, 2].forEach(tier => queue.offer(requestOf(`${tier}`, classOf(tier)), capacityWithoutSlots, 0));
            t.deepEqual([0, 1, 2].map(() => queue.take(tenPerSecondCapacity, 0)?.id), ["0", "2", "4"]);
        });

        it("serves requests that cannot meet their target after the others of their tier", t => {
            const queue = new TieredQueue();
            queue.offer(
                requestOf("late", classOf(1, { target: { totalMilliseconds: 4_000 } })),
                capacityWithoutSlots,
                0,
            );
            queue.offer(
                requestOf("in-time", classOf(1, { name: "slow" }), { arrivedAt: 4_500 }),
                capacityWithoutSlots,
                4_500,
            );
            queue.offer(requestOf("lower", classOf(2), { arrivedAt: 4_500 }), capacityWithoutSlots, 4_500);
            t.deepEqual([0, 1, 2].map(() => queue.take(tenPerSecondCapacity, 5_000)?.id), ["in-time", "late", "lower"]);
        });

        it("serves the classes of a tier in proportion to their weights", t => {
            const queue = new TieredQueue();
            const longTarget = { target: { totalMilliseconds: 1e8 } };
            const classes = [
                classOf(1, { name: "one", ...longTarget }),
                classOf(1, { name: "three", weight: 3, ...longTarget }),
            ];
            classes.forEach(requestClass => {
                for (let number = 0; number < 300; number += 1) {
                    queue.offer(requestOf(`${requestClass.name}-${number}`, requestClass), {
                        ...capacityWithoutSlots,
                        tokensPerSecond: 0,
                    }, 0);
                }
            });
            const taken = Array.from({ length: 200 }, () => queue.take(tenPerSecondCapacity, 0)?.requestClass.name);
            t.is(taken.filter(name => name === "three").length, 150);
        });
    });

    describe("shedding", () => {
        it("sheds the newest request of the team with the most queued tokens in the lowest tier", t => {
            const queue = new TieredQueue({ maximumLength: 4 });
            ["first", "second", "third"].forEach(id =>
                queue.offer(requestOf(id, classOf(3), { team: "large" }), capacityWithoutSlots, 0)
            );
            queue.offer(requestOf("small", classOf(3), { team: "small" }), capacityWithoutSlots, 1);
            const refusals = queue.offer(requestOf("urgent", classOf(0), { team: "small" }), capacityWithoutSlots, 2);
            t.deepEqual(refusals.map(refusal => [refusal.request.id, refusal.code]), [["third", "shedUnderLoad"]]);
        });

        it("refuses requests that would wait too long at once, with a retry-after time", t => {
            const queue = new TieredQueue();
            const slow = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 0.5 };
            const refusals = [...Array(12).keys()].flatMap(id => queue.offer(requestOf(`${id}`, classOf(0)), slow, 0));
            t.deepEqual([...new Set(refusals.map(refusal => refusal.code))], ["targetUnreachable"]);
            t.is(refusals.length, 10);
            t.true(refusals.every(refusal => refusal.retryAfter >= 1_000 && refusal.retryAfter <= 60_000));
        });

        it("does not refuse a request of a small team because of the backlog of a large one", t => {
            const queue = new TieredQueue();
            const slow = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 2 };
            for (let number = 0; number < 40; number += 1) {
                queue.offer(requestOf(`large-${number}`, classOf(0), { team: "large" }), slow, 0);
            }
            t.deepEqual(queue.offer(requestOf("small", classOf(0), { team: "small" }), slow, 0), []);
        });

        it("preempts the most recently started request of a lower tier instead of shedding", t => {
            const queue = queueRunningBatch();
            const offered = ["a", "b", "c"].flatMap(id =>
                queue.offer(requestOf(id, classOf(1)), capacityWithoutSlots, 10)
            );
            t.deepEqual(offered, []);
            const [preemption] = queue.choosePreemptions(capacityWithoutSlots, 20);
            t.deepEqual([preemption?.request.id, preemption?.forTier], ["young", 1]);
        });
    });

    describe("preemption", () => {
        it("does not preempt requests of the same or a higher tier", t => {
            const queue = queueRunningBatch();
            ["a", "b"].forEach(id => queue.offer(requestOf(id, batch), capacityWithoutSlots, 10));
            t.deepEqual(queue.choosePreemptions({ ...capacityWithoutSlots, tokensPerSecond: 1 }, 20), []);
        });

        it("does not preempt while the higher tier can still be served in time", t => {
            const queue = queueRunningBatch();
            queue.offer(requestOf("a", classOf(1)), capacityWithoutSlots, 10);
            t.deepEqual(queue.choosePreemptions(capacityWithoutSlots, 20), []);
        });

        it("resumes a preempted request after higher tiers and before other requests of its tier", t => {
            const queue = queueRunningBatch();
            queue.offer(requestOf("urgent", classOf(1)), capacityWithoutSlots, 10);
            queue.offer(requestOf("later", batch), capacityWithoutSlots, 10);
            queue.requeue(requestOf("young", batch), 20);
            t.deepEqual([0, 1, 2].map(() => queue.take(tenPerSecondCapacity, 30)?.id), ["urgent", "young", "later"]);
        });
    });

    describe("new configuration", () => {
        it("changes the weight of a continuously active team", t => {
            const weights = new Map([["team-a", 1], ["team-b", 1]]);
            const queue = new TieredQueue({ weights: new ListedTeamWeights(weights) });
            const longTarget = classOf(1, { target: { totalMilliseconds: 1e8 } });
            const takenOfB = (prefix: string): number => {
                const taken = [...Array(120).keys()].map(round => {
                    ["team-a", "team-b"].forEach(team => {
                        queue.offer(
                            requestOf(`${prefix}-${team}-${round}`, longTarget, { team }),
                            tenPerSecondCapacity,
                            0,
                        );
                    });
                    return queue.take(tenPerSecondCapacity, 0)?.team;
                });
                return taken.filter(team => team === "team-b").length;
            };
            t.is(takenOfB("before"), 60);
            weights.set("team-b", 3);
            t.is(takenOfB("after"), 90);
        });

        it("moves a class to another tier and removes the old queue once it is empty", t => {
            const queue = new TieredQueue();
            queue.offer(requestOf("old", classOf(4, { name: "draft" })), capacityWithoutSlots, 0);
            queue.offer(requestOf("other", classOf(2)), capacityWithoutSlots, 0);
            queue.offer(requestOf("new", classOf(1, { name: "draft" })), capacityWithoutSlots, 0);
            const taken = [0, 1, 2].map(() => queue.take(tenPerSecondCapacity, 10));
            t.deepEqual(taken.map(request => request?.id), ["new", "other", "old"]);
            t.is(queue.classCount, 3);
            taken.forEach(request => {
                if (request !== undefined) {
                    queue.complete(request, { promptTokens: 100, cachedTokens: 0, outputTokens: 20, serviceTime: 100 });
                }
            });
            queue.sweep(tenPerSecondCapacity, 20);
            queue.sweep(tenPerSecondCapacity, 30);
            t.is(queue.classCount, 2);
        });
    });

    describe("withdrawKey", () => {
        it("refuses every waiting request of the key, with a separate code for preempted ones", t => {
            const queue = queueRunningBatch();
            queue.offer(requestOf("waiting", batch), capacityWithoutSlots, 10);
            queue.offer(requestOf("other", batch, { keyName: "key-b" }), capacityWithoutSlots, 10);
            queue.requeue(requestOf("young", batch), 20);
            const refusals = queue.withdrawKey("team-a", "key-a").map(refusal => [refusal.request.id, refusal.code]);
            t.deepEqual(refusals, [["waiting", "keyWithdrawn"], ["young", "keyWithdrawnWhileRunning"]]);
            t.is(queue.length, 1);
        });
    });

    describe("with other entries", () => {
        it("does not start lower tiers while others have a shortfall in a higher one, until the summary is stale", t => {
            const remoteLoad = new SummaryRemoteLoad();
            const queue = new TieredQueue({ remoteLoad });
            queue.offer(requestOf("lower", classOf(4)), tenPerSecondCapacity, 0);
            remoteLoad.update(remoteSummaryWith(1, { shortfall: 3 }), 0);
            t.is(queue.take(tenPerSecondCapacity, 2_999), undefined);
            t.is(queue.take(tenPerSecondCapacity, 3_001)?.id, "lower");
        });

        it("serves a class through the service floor although its tier is withheld for others", t => {
            const remoteLoad = new SummaryRemoteLoad();
            const queue = new TieredQueue({ remoteLoad });
            queue.offer(requestOf("lower", classOf(4)), tenPerSecondCapacity, 0);
            remoteLoad.update(remoteSummaryWith(1, { shortfall: 3 }), 9_000);
            t.is(queue.take(tenPerSecondCapacity, 9_999), undefined);
            t.is(queue.take(tenPerSecondCapacity, 10_000)?.id, "lower");
        });

        const cases = [
            {
                name: "others start a lower tier",
                others: remoteSummaryWith(5, { startedOutputTokens: 1 }),
                shed: 0,
                after: 1,
            },
            {
                name: "others run preemptible requests of a lower tier",
                others: remoteSummaryWith(5, { preemptible: 1 }),
                shed: 0,
                after: 1,
            },
            {
                name: "others start only the same tier",
                others: remoteSummaryWith(3, { startedOutputTokens: 9 }),
                shed: 1,
                after: 0,
            },
        ];
        cases.forEach(({ name, others, shed, after }) => {
            it(`delays shedding for a limited time when ${name}: ${shed === 0}`, t => {
                const remoteLoad = new SummaryRemoteLoad();
                const queue = new TieredQueue({ maximumLength: 20, remoteLoad });
                remoteLoad.update(others, 0);
                const ids = [...Array(21).keys()].map(String);
                const fastCapacity = { ...capacityWithoutSlots, requestsPerSecond: 1_000, tokensPerSecond: 0 };
                t.is(ids.flatMap(id => queue.offer(requestOf(id, classOf(3)), fastCapacity, 0)).length, shed);
                t.is(queue.summarize("pool", fastCapacity, 0).tiers[3]?.shortfall, 1);
                t.is(queue.sweep(fastCapacity, 1_499).length, 0);
                t.is(queue.sweep(fastCapacity, 1_500).length, after);
            });
        });

        it("preempts its share of the shortfall of others, once per summary", t => {
            const remoteLoad = new SummaryRemoteLoad();
            const queue = queueRunningBatch(remoteLoad);
            remoteLoad.update({ ...remoteSummaryWith(0, { shortfall: 1 }) }, 10);
            t.is(queue.choosePreemptions(capacityWithoutSlots, 20).length, 1);
            t.is(queue.choosePreemptions(capacityWithoutSlots, 30).length, 0);
        });
    });
});
