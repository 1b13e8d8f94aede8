import { MedianClock } from "../../src/util/medianClock.js";
import { describe, it } from "../describe.js";
import { SettableClock } from "./settableClock.js";

describe("median clock", () => {
    it("gives the own wall-clock time where nobody else said one", t => {
        t.is(new MedianClock().unixAt(new SettableClock(5, 1_000)), 1_000);
    });

    it("outvotes its own clock after a step", t => {
        const clock = new SettableClock(0, 50_000);
        const median = new MedianClock();
        ["a", "b", "c"].forEach(source => {
            median.note(source, 50_000, clock.now());
        });
        clock.advance(100);
        clock.unix += 3_000;
        t.is(median.unixAt(clock), 50_100);
    });

    it("forgets what was said long ago", t => {
        const clock = new SettableClock(0, 50_000);
        const median = new MedianClock();
        median.note("a", 90_000, clock.now());
        median.note("b", 90_000, clock.now());
        clock.advance(6_000);
        t.is(median.unixAt(clock), 56_000);
    });
});
