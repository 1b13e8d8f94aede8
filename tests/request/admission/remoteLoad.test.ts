import { CapacityEstimator } from "../../../src/request/admission/capacityEstimator.js";
import { emptySummary, emptyTier } from "../../../src/request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../../../src/request/admission/remoteLoad.js";
import { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf } from "./requestBuilder.js";

const remoteStartsTierFour = {
    ...emptySummary("pool"),
    tiers: emptySummary("pool").tiers.map((summary, tier) =>
        tier === 4 ? { ...emptyTier, startedOutputTokens: 500 } : summary
    ),
};

describe("CapacityEstimator", () => {
    it("returns rates of 0 before the first completed request", t => {
        const estimate = new CapacityEstimator().estimate({
            runningRequests: 0,
            freeSlots: 9,
            totalSlots: 32,
            entryCount: 8,
        });
        t.deepEqual(estimate, { freeSlots: 9, tokensPerSecond: 0, requestsPerSecond: 0 });
    });

    it("computes the rate of the entry's slots by Little's law, regardless of demand", t => {
        const estimator = new CapacityEstimator();
        estimator.observe({ promptTokens: 10, cachedTokens: 0, outputTokens: 100, serviceTime: 2_000 });
        const idle = estimator.estimate({ runningRequests: 0, freeSlots: 32, totalSlots: 32, entryCount: 8 });
        t.deepEqual(idle, { freeSlots: 32, tokensPerSecond: 200, requestsPerSecond: 2 });
        const busy = estimator.estimate({ runningRequests: 10, freeSlots: 0, totalSlots: 32, entryCount: 8 });
        t.is(busy.requestsPerSecond, 5);
    });
});

describe("TieredQueue with other entries", () => {
    const capacity = { freeSlots: 0, tokensPerSecond: 100, requestsPerSecond: 1 };

    /** Returns how many of 40 simultaneous requests an entry admits. */
    function admittedCount(remoteLoad: SummaryRemoteLoad, tier: number): number {
        const queue = new TieredQueue({ remoteLoad, maximumLength: 100 });
        const ids = [...Array(40).keys()];
        ids.forEach(id => queue.offer(requestOf(`${tier}-${id}`, classOf(tier)), capacity, 0));
        queue.sweep(capacity, 1_600);
        return queue.length;
    }

    it("admits more requests of a tier when other entries start lower tiers, but not when they start higher ones", t => {
        const withoutLoad = new SummaryRemoteLoad();
        withoutLoad.update(emptySummary("pool"), 0);
        const withLowerTier = new SummaryRemoteLoad();
        withLowerTier.update(remoteStartsTierFour, 0);
        t.true(admittedCount(withLowerTier, 1) > 2 * admittedCount(withoutLoad, 1));
        t.is(admittedCount(withLowerTier, 5), admittedCount(withoutLoad, 5));
    });

    it("starts a request without a free slot only if it has waited and lower tiers run", t => {
        const fastCapacity = { freeSlots: 0, urgentSlots: 1, tokensPerSecond: 1e6, requestsPerSecond: 1e4 };
        const queue = new TieredQueue();
        queue.offer(requestOf("urgent", classOf(0)), fastCapacity, 0);
        t.is(queue.take(fastCapacity, 5_000), undefined);
        queue.offer(requestOf("lower", classOf(3), { arrivedAt: 5_000 }), fastCapacity, 5_000);
        queue.take({ ...fastCapacity, freeSlots: 1 }, 5_000);
        queue.take({ ...fastCapacity, freeSlots: 1 }, 5_000);
        queue.offer(requestOf("next", classOf(0), { arrivedAt: 5_000 }), fastCapacity, 5_000);
        t.is(queue.take(fastCapacity, 5_100), undefined);
        t.is(queue.take(fastCapacity, 6_500)?.id, "next");
    });

    it("reserves slots for a higher tier whose requests cannot wait", t => {
        const capacityWithSlots = { freeSlots: 2, tokensPerSecond: 1e6, requestsPerSecond: 1e4 };
        const shortTarget = classOf(0, { target: { totalMilliseconds: 10_000, firstTokenMilliseconds: 1_000 } });
        const queue = new TieredQueue();
        for (let round = 0; round < 60; round += 1) {
            queue.offer(requestOf(`${round}`, shortTarget, { arrivedAt: round * 50 }), capacityWithSlots, round * 50);
            queue.take(capacityWithSlots, round * 50);
        }
        queue.offer(requestOf("lower", classOf(3), { arrivedAt: 3_000 }), capacityWithSlots, 3_000);
        t.is(queue.take(capacityWithSlots, 3_000), undefined);
        t.is(queue.take({ ...capacityWithSlots, freeSlots: 20 }, 3_000)?.id, "lower");
    });

    it("admits the first request of a class without recent service, regardless of the queues of higher tiers", t => {
        const queue = new TieredQueue({ maximumLength: 200 });
        const slowCapacity = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 1 };
        const offer = (id: string, tier: number, now: number): number => {
            return queue.offer(requestOf(id, classOf(tier), { arrivedAt: now }), slowCapacity, now).length;
        };
        [...Array(30).keys()].forEach(id => offer(`first-${id}`, 1, 0));
        t.is(offer("early", 5, 1), 1);
        t.is(queue.take({ ...slowCapacity, freeSlots: 1 }, 9_000)?.requestClass.tier, 1);
        [...Array(30).keys()].forEach(id => offer(`second-${id}`, 1, 10_500));
        t.is(offer("starved", 5, 10_500), 0);
        t.is(queue.take({ ...slowCapacity, freeSlots: 1 }, 10_500)?.id, "starved");
    });
});
