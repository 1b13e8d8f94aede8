import { CapacityEstimator } from "../../../src/request/admission/capacityEstimator.js";
import { emptySummary, emptyTier } from "../../../src/request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../../../src/request/admission/remoteLoad.js";
import { TieredQueue } from "../../../src/request/admission/tieredQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf } from "./requestBuilder.js";

const othersServeTierFour = {
    ...emptySummary("pool"),
    tiers: emptySummary("pool").tiers.map((each, tier) => tier === 4 ? { ...emptyTier, started: 500 } : each),
};

describe("CapacityEstimator", () => {
    it("knows nothing before the first completed request", t => {
        const view = new CapacityEstimator().estimate({ running: 0, free: 9, total: 32, entries: 8 });
        t.deepEqual(view, { freeSlots: 9, tokensPerSecond: 0, requestsPerSecond: 0 });
    });

    it("gives the rate of the entry's part by Little's law, however little was asked for", t => {
        const estimator = new CapacityEstimator();
        estimator.observe({ promptTokens: 10, cachedTokens: 0, outputTokens: 100, serviceTime: 2_000 });
        const idle = estimator.estimate({ running: 0, free: 32, total: 32, entries: 8 });
        t.deepEqual(idle, { freeSlots: 32, tokensPerSecond: 200, requestsPerSecond: 2 });
        const busy = estimator.estimate({ running: 10, free: 0, total: 32, entries: 8 });
        t.is(busy.requestsPerSecond, 5);
    });
});

describe("TieredQueue beside other entries", () => {
    const capacity = { freeSlots: 0, tokensPerSecond: 100, requestsPerSecond: 1 };

    /** Number of requests that an entry admits of ten that come at once. */
    function admitted(neighbours: SummaryRemoteLoad, tier: number): number {
        const queue = new TieredQueue({ remoteLoad: neighbours, maximumLength: 100 });
        const ids = [...Array(40).keys()];
        ids.forEach(id => queue.offer(requestOf(`${tier}-${id}`, classOf(tier)), capacity, 0));
        queue.sweep(capacity, 1_600);
        return queue.length;
    }

    it("counts on what others start below a tier, and not on what they start above it", t => {
        const alone = new SummaryRemoteLoad();
        alone.update(emptySummary("pool"), 0);
        const yielding = new SummaryRemoteLoad();
        yielding.update(othersServeTierFour, 0);
        t.true(admitted(yielding, 1) > 2 * admitted(alone, 1));
        t.is(admitted(yielding, 5), admitted(alone, 5));
    });

    it("sends a request to a full endpoint only when it has waited and lower tiers run", t => {
        const fitting = { freeSlots: 0, urgentSlots: 1, tokensPerSecond: 1e6, requestsPerSecond: 1e4 };
        const queue = new TieredQueue();
        queue.offer(requestOf("urgent", classOf(0)), fitting, 0);
        t.is(queue.take(fitting, 5_000), undefined);
        queue.offer(requestOf("lower", classOf(3), { arrivedAt: 5_000 }), fitting, 5_000);
        queue.take({ ...fitting, freeSlots: 1 }, 5_000);
        queue.take({ ...fitting, freeSlots: 1 }, 5_000);
        queue.offer(requestOf("next", classOf(0), { arrivedAt: 5_000 }), fitting, 5_000);
        t.is(queue.take(fitting, 5_100), undefined);
        t.is(queue.take(fitting, 6_500)?.id, "next");
    });

    it("keeps slots free for a tier above that cannot wait", t => {
        const open = { freeSlots: 2, tokensPerSecond: 1e6, requestsPerSecond: 1e4 };
        const impatient = classOf(0, { target: { totalMilliseconds: 10_000, firstTokenMilliseconds: 1_000 } });
        const queue = new TieredQueue();
        for (let turn = 0; turn < 60; turn += 1) {
            queue.offer(requestOf(`${turn}`, impatient, { arrivedAt: turn * 50 }), open, turn * 50);
            queue.take(open, turn * 50);
        }
        queue.offer(requestOf("lower", classOf(3), { arrivedAt: 3_000 }), open, 3_000);
        t.is(queue.take(open, 3_000), undefined);
        t.is(queue.take({ ...open, freeSlots: 20 }, 3_000)?.id, "lower");
    });

    it("admits the first request of a class that had no service for long, however long the queues above it are", t => {
        const queue = new TieredQueue({ maximumLength: 200 });
        const slow = { freeSlots: 0, tokensPerSecond: 0, requestsPerSecond: 1 };
        const offer = (id: string, tier: number, now: number): number => {
            return queue.offer(requestOf(id, classOf(tier), { arrivedAt: now }), slow, now).length;
        };
        [...Array(30).keys()].forEach(id => offer(`first-${id}`, 1, 0));
        t.is(offer("early", 5, 1), 1);
        t.is(queue.take({ ...slow, freeSlots: 1 }, 9_000)?.requestClass.tier, 1);
        [...Array(30).keys()].forEach(id => offer(`second-${id}`, 1, 10_500));
        t.is(offer("starved", 5, 10_500), 0);
        t.is(queue.take({ ...slow, freeSlots: 1 }, 10_500)?.id, "starved");
    });
});
