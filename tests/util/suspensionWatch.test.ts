import { SuspensionWatch } from "../../src/util/suspensionWatch.js";
import { describe, it } from "../describe.js";
import { SettableClock } from "./settableClock.js";

describe("suspension watch", () => {
    it("passes the monotonic time on while both clocks agree", t => {
        const clock = new SettableClock();
        const watch = new SuspensionWatch(clock);
        clock.advance(2_000);
        t.is(watch.now(), 2_000);
        t.is(watch.timeSinceSuspension(), Infinity);
    });

    it("counts time that only the wall clock has seen", t => {
        const clock = new SettableClock();
        const watch = new SuspensionWatch(clock);
        clock.unix += 4_000;
        t.is(watch.now(), 4_000);
        clock.advance(300);
        t.is(watch.timeSinceSuspension(), 300);
    });

    it("never moves back when the wall clock is set back", t => {
        const clock = new SettableClock();
        const watch = new SuspensionWatch(clock);
        clock.advance(1_000);
        clock.unix -= 5_000;
        t.is(watch.now(), 1_000);
        t.is(watch.timeSinceSuspension(), 0);
    });
});
