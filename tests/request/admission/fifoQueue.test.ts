import { FifoQueue } from "../../../src/request/admission/fifoQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf, tenPerSecondCapacity } from "./requestBuilder.js";

describe("first-in, first-out queue", () => {
    const first = requestOf("first", classOf(5));
    const second = requestOf("second", classOf(0), { keyName: "key-b" });
    const third = requestOf("third", classOf(0));

    it("serves requests in order of arrival, regardless of tier", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenPerSecondCapacity);
        queue.offer(second, tenPerSecondCapacity);
        t.deepEqual([
            queue.take(tenPerSecondCapacity),
            queue.take(tenPerSecondCapacity),
            queue.take(tenPerSecondCapacity),
        ], [
            first,
            second,
            undefined,
        ]);
    });

    it("refuses a new request with a retry-after time when the queue is full", t => {
        const queue = new FifoQueue(2);
        queue.offer(first, tenPerSecondCapacity);
        queue.offer(second, tenPerSecondCapacity);
        t.deepEqual(queue.offer(third, { ...tenPerSecondCapacity, requestsPerSecond: 0.5 }), [
            { request: third, code: "queueFull", retryAfter: 4_000 },
        ]);
    });

    it("refuses requests that have waited for the maximum time of their class", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenPerSecondCapacity);
        t.deepEqual(queue.sweep(tenPerSecondCapacity, 9_999), []);
        t.deepEqual(queue.sweep(tenPerSecondCapacity, 10_000).map(refusal => refusal.code), ["waitTooLong"]);
        t.is(queue.length, 0);
    });

    it("removes the requests of a withdrawn key only", t => {
        const queue = new FifoQueue();
        [first, second, third].forEach(request => queue.offer(request, tenPerSecondCapacity));
        t.deepEqual(queue.withdrawKey("team-a", "key-a").map(refusal => refusal.request), [first, third]);
        t.is(queue.take(tenPerSecondCapacity), second);
    });

    it("resumes preempted requests before it starts new ones", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenPerSecondCapacity);
        queue.requeue(second);
        t.is(queue.take(tenPerSecondCapacity), second);
    });
});
