import { FifoQueue } from "../../../src/request/admission/fifoQueue.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf, tenASecond } from "./requestBuilder.js";

describe("FirstComeQueue", () => {
    const first = requestOf("first", classOf(5));
    const second = requestOf("second", classOf(0), { keyName: "key-b" });
    const third = requestOf("third", classOf(0));

    it("serves in the order of arrival, whatever the tier", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenASecond);
        queue.offer(second, tenASecond);
        t.deepEqual([queue.take(tenASecond), queue.take(tenASecond), queue.take(tenASecond)], [
            first,
            second,
            undefined,
        ]);
    });

    it("refuses the newcomer when it is full and says when to come back", t => {
        const queue = new FifoQueue(2);
        queue.offer(first, tenASecond);
        queue.offer(second, tenASecond);
        t.deepEqual(queue.offer(third, { ...tenASecond, requestsPerSecond: 0.5 }), [
            { request: third, code: "queueFull", retryAfter: 4_000 },
        ]);
    });

    it("refuses what has waited as long as its class allows", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenASecond);
        t.deepEqual(queue.sweep(tenASecond, 9_999), []);
        t.deepEqual(queue.sweep(tenASecond, 10_000).map(refusal => refusal.code), ["waitTooLong"]);
        t.is(queue.length, 0);
    });

    it("removes the requests of a withdrawn key and no others", t => {
        const queue = new FifoQueue();
        [first, second, third].forEach(request => queue.offer(request, tenASecond));
        t.deepEqual(queue.withdrawKey("team-a", "key-a").map(refusal => refusal.request), [first, third]);
        t.is(queue.take(tenASecond), second);
    });

    it("resumes a preempted request first", t => {
        const queue = new FifoQueue();
        queue.offer(first, tenASecond);
        queue.requeue(second);
        t.is(queue.take(tenASecond), second);
    });
});
