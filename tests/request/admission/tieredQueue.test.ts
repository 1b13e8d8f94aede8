import { emptySummary, emptyTier } from "../../../src/request/admission/poolSummary.js";
import type { PoolSummary, TierSummary } from "../../../src/request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../../../src/request/admission/remoteLoad.js";
import { ListedTeamWeights } from "../../../src/request/admission/teamWeights.js";
import { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf, tenASecond } from "./requestBuilder.js";

const noSlot = { ...tenASecond, freeSlots: 0 };
const batch = classOf(5, { preemptible: true });

function othersWith(tier: number, changes: Partial<TierSummary>): PoolSummary {
    const empty = emptySummary("pool");
    const tiers = empty.tiers.map((each, index) => index === tier ? { ...emptyTier, ...changes } : each);
    return { ...empty, entries: 7, tiers };
}

/** A queue that runs two preemptible requests of the lowest tier. */
function runningBatch(neighbours?: SummaryRemoteLoad): TieredQueue {
    const queue = new TieredQueue({ maximumLength: 2, ...neighbours === undefined ? {} : { remoteLoad: neighbours } });
    ["old", "young"].forEach((id, index) => {
        queue.offer(requestOf(id, batch), tenASecond, index);
        queue.take(tenASecond, index);
    });
    return queue;
}

describe("TieredQueue", () => {
    describe("order", () => {
        it("serves tiers in order", t => {
            const queue = new TieredQueue();
            [4, 0, 2].forEach(tier => queue.offer(requestOf(`${tier}`, classOf(tier)), noSlot, 0));
            t.deepEqual([0, 1, 2].map(() => queue.take(tenASecond, 0)?.id), ["0", "2", "4"]);
        });

        it("lets work that cannot meet its target yield inside its tier", t => {
            const queue = new TieredQueue();
            queue.offer(requestOf("late", classOf(1, { target: { totalMilliseconds: 4_000 } })), noSlot, 0);
            queue.offer(requestOf("in-time", classOf(1, { name: "slow" }), { arrivedAt: 4_500 }), noSlot, 4_500);
            queue.offer(requestOf("lower", classOf(2), { arrivedAt: 4_500 }), noSlot, 4_500);
            t.deepEqual([0, 1, 2].map(() => queue.take(tenASecond, 5_000)?.id), ["in-time", "late", "lower"]);
        });

        it("gives the classes of a tier service by weight", t => {
            const queue = new TieredQueue();
            const patient = { target: { totalMilliseconds: 1e8 } };
            const classes = [
                classOf(1, { name: "one", ...patient }),
                classOf(1, { name: "three", weight: 3, ...patient }),
            ];
            classes.forEach(each => {
                for (let number = 0; number < 300; number += 1) {
                    queue.offer(requestOf(`${each.name}-${number}`, each), { ...noSlot, tokensPerSecond: 0 }, 0);
                }
            });
            const taken = Array.from({ length: 200 }, () => queue.take(tenASecond, 0)?.requestClass.name);
            t.is(taken.filter(name => name === "three").length, 150);
        });
    });

    describe("shedding", () => {
        it("takes the heaviest team's youngest request of the lowest tier", t => {
            const queue = new TieredQueue({ maximumLength: 4 });
            ["first", "second", "third"].forEach(id =>
                queue.offer(requestOf(id, classOf(3), { team: "large" }), noSlot, 0)
            );
            queue.offer(requestOf("small", classOf(3), { team: "small" }), noSlot, 1);
            const refusals = queue.offer(requestOf("urgent", classOf(0), { team: "small" }), noSlot, 2);
            t.deepEqual(refusals.map(each => [each.request.id, each.code]), [["third", "shedUnderLoad"]]);
        });

        it("refuses early what would wait too long, and says when to come back", t => {
            const queue = new TieredQueue();
            const slow = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 0.5 };
            const refusals = [...Array(12).keys()].flatMap(id => queue.offer(requestOf(`${id}`, classOf(0)), slow, 0));
            t.deepEqual([...new Set(refusals.map(each => each.code))], ["targetUnreachable"]);
            t.is(refusals.length, 10);
            t.true(refusals.every(each => each.retryAfter >= 1_000 && each.retryAfter <= 60_000));
        });

        it("does not refuse a small team for the backlog of a large one", t => {
            const queue = new TieredQueue();
            const slow = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 2 };
            for (let number = 0; number < 40; number += 1) {
                queue.offer(requestOf(`large-${number}`, classOf(0), { team: "large" }), slow, 0);
            }
            t.deepEqual(queue.offer(requestOf("small", classOf(0), { team: "small" }), slow, 0), []);
        });

        it("does not shed while a lower tier runs preemptibly, and preempts the one that started last", t => {
            const queue = runningBatch();
            const offered = ["a", "b", "c"].flatMap(id => queue.offer(requestOf(id, classOf(1)), noSlot, 10));
            t.deepEqual(offered, []);
            const [preemption] = queue.choosePreemptions(noSlot, 20);
            t.deepEqual([preemption?.request.id, preemption?.forTier], ["young", 1]);
        });
    });

    describe("preemption", () => {
        it("interrupts nothing of an equal or higher tier", t => {
            const queue = runningBatch();
            ["a", "b"].forEach(id => queue.offer(requestOf(id, batch), noSlot, 10));
            t.deepEqual(queue.choosePreemptions({ ...noSlot, tokensPerSecond: 1 }, 20), []);
        });

        it("interrupts nothing while the tier above can still be served in time", t => {
            const queue = runningBatch();
            queue.offer(requestOf("a", classOf(1)), noSlot, 10);
            t.deepEqual(queue.choosePreemptions(noSlot, 20), []);
        });

        it("resumes the interrupted request after the tiers above it and before its own", t => {
            const queue = runningBatch();
            queue.offer(requestOf("urgent", classOf(1)), noSlot, 10);
            queue.offer(requestOf("later", batch), noSlot, 10);
            queue.requeue(requestOf("young", batch), 20);
            t.deepEqual([0, 1, 2].map(() => queue.take(tenASecond, 30)?.id), ["urgent", "young", "later"]);
        });
    });

    describe("a new configuration", () => {
        it("changes the weight of a team that never pauses", t => {
            const weights = new Map([["team-a", 1], ["team-b", 1]]);
            const queue = new TieredQueue({ weights: new ListedTeamWeights(weights) });
            const patient = classOf(1, { target: { totalMilliseconds: 1e8 } });
            const takenOfB = (prefix: string): number => {
                const taken = [...Array(120).keys()].map(turn => {
                    ["team-a", "team-b"].forEach(team => {
                        queue.offer(requestOf(`${prefix}-${team}-${turn}`, patient, { team }), tenASecond, 0);
                    });
                    return queue.take(tenASecond, 0)?.team;
                });
                return taken.filter(team => team === "team-b").length;
            };
            t.is(takenOfB("before"), 60);
            weights.set("team-b", 3);
            t.is(takenOfB("after"), 90);
        });

        it("moves a class to another tier, and keeps nothing of the old one once it has run out", t => {
            const queue = new TieredQueue();
            queue.offer(requestOf("old", classOf(4, { name: "draft" })), noSlot, 0);
            queue.offer(requestOf("other", classOf(2)), noSlot, 0);
            queue.offer(requestOf("new", classOf(1, { name: "draft" })), noSlot, 0);
            const taken = [0, 1, 2].map(() => queue.take(tenASecond, 10));
            t.deepEqual(taken.map(each => each?.id), ["new", "other", "old"]);
            t.is(queue.classCount, 3);
            taken.forEach(each => {
                if (each !== undefined) {
                    queue.complete(each, { promptTokens: 100, cachedTokens: 0, outputTokens: 20, serviceTime: 100 });
                }
            });
            queue.sweep(tenASecond, 20);
            queue.sweep(tenASecond, 30);
            t.is(queue.classCount, 2);
        });
    });

    describe("withdrawKey", () => {
        it("answers every waiting request of the key, truthfully where it had begun", t => {
            const queue = runningBatch();
            queue.offer(requestOf("waiting", batch), noSlot, 10);
            queue.offer(requestOf("other", batch, { keyName: "key-b" }), noSlot, 10);
            queue.requeue(requestOf("young", batch), 20);
            const answers = queue.withdrawKey("team-a", "key-a").map(each => [each.request.id, each.code]);
            t.deepEqual(answers, [["waiting", "keyWithdrawn"], ["young", "keyWithdrawnWhileRunning"]]);
            t.is(queue.length, 1);
        });
    });

    describe("beside other entries", () => {
        it("holds lower tiers back while others are short of room for a higher one, until the summary is stale", t => {
            const neighbours = new SummaryRemoteLoad();
            const queue = new TieredQueue({ remoteLoad: neighbours });
            queue.offer(requestOf("lower", classOf(4)), tenASecond, 0);
            neighbours.update(othersWith(1, { shortfall: 3 }), 0);
            t.is(queue.take(tenASecond, 2_999), undefined);
            t.is(queue.take(tenASecond, 3_001)?.id, "lower");
        });

        it("lets the floor serve a class that is held back", t => {
            const neighbours = new SummaryRemoteLoad();
            const queue = new TieredQueue({ remoteLoad: neighbours });
            queue.offer(requestOf("lower", classOf(4)), tenASecond, 0);
            neighbours.update(othersWith(1, { shortfall: 3 }), 9_000);
            t.is(queue.take(tenASecond, 9_999), undefined);
            t.is(queue.take(tenASecond, 10_000)?.id, "lower");
        });

        const asking = [
            { name: "others admit a lower tier", others: othersWith(5, { started: 1 }), shed: 0, after: 1 },
            {
                name: "others run a lower tier preemptibly",
                others: othersWith(5, { preemptible: 1 }),
                shed: 0,
                after: 1,
            },
            { name: "others admit only an equal tier", others: othersWith(3, { started: 9 }), shed: 1, after: 0 },
        ];
        asking.forEach(({ name, others, shed, after }) => {
            it(`waits a bounded while before it sheds when ${name}: ${shed === 0}`, t => {
                const neighbours = new SummaryRemoteLoad();
                const queue = new TieredQueue({ maximumLength: 20, remoteLoad: neighbours });
                neighbours.update(others, 0);
                const ids = [...Array(21).keys()].map(String);
                const fast = { ...noSlot, requestsPerSecond: 1_000, tokensPerSecond: 0 };
                t.is(ids.flatMap(id => queue.offer(requestOf(id, classOf(3)), fast, 0)).length, shed);
                t.is(queue.summarize("pool", fast, 0).tiers[3]?.shortfall, 1);
                t.is(queue.sweep(fast, 1_499).length, 0);
                t.is(queue.sweep(fast, 1_500).length, after);
            });
        });

        it("preempts its part of what others lack, once for each summary", t => {
            const neighbours = new SummaryRemoteLoad();
            const queue = runningBatch(neighbours);
            neighbours.update({ ...othersWith(0, { shortfall: 1 }) }, 10);
            t.is(queue.choosePreemptions(noSlot, 20).length, 1);
            t.is(queue.choosePreemptions(noSlot, 30).length, 0);
        });
    });
});
