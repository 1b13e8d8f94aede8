import { CoalescedTask } from "../../src/util/coalescedTask.js";
import { describe, it } from "../describe.js";
import { VirtualClock } from "../process/platform/virtualClock.js";

const interval = 100;

describe("CoalescedTask", () => {
    it("runs not more often than its interval, and once more after the last request", async t => {
        const clock = new VirtualClock();
        const runs: number[] = [];
        const task = new CoalescedTask(
            clock,
            () => interval,
            () => runs.push(clock.now()),
            new AbortController().signal,
        );
        for (let time = 0; time <= 250; time += 10) {
            await clock.runUntil(time);
            task.request();
        }
        await clock.runUntil(1_000);
        t.deepEqual(runs, [0, 100, 200, 300]);
    });

    it("does not run once it is aborted", async t => {
        const clock = new VirtualClock();
        const stop = new AbortController();
        const runs: number[] = [];
        const task = new CoalescedTask(clock, () => interval, () => runs.push(clock.now()), stop.signal);
        task.request();
        stop.abort();
        await clock.runUntil(1_000);
        t.deepEqual(runs, []);
    });
});
