import { MedianClock } from "../../src/util/medianClock.js";
import { describe, it } from "../describe.js";
import { SettableClock } from "./settableClock.js";

describe("MedianClock", () => {
    it("returns its own wall-clock time without other readings", t => {
        t.is(new MedianClock().medianUnixTime(new SettableClock(5, 1_000)), 1_000);
    });

    it("ignores a step of its own clock if other readings outnumber it", t => {
        const clock = new SettableClock(0, 50_000);
        const medianClock = new MedianClock();
        ["a", "b", "c"].forEach(source => {
            medianClock.addReading(source, 50_000, clock.now());
        });
        clock.advance(100);
        clock.unix += 3_000;
        t.is(medianClock.medianUnixTime(clock), 50_100);
    });

    it("discards old readings", t => {
        const clock = new SettableClock(0, 50_000);
        const medianClock = new MedianClock();
        medianClock.addReading("a", 90_000, clock.now());
        medianClock.addReading("b", 90_000, clock.now());
        clock.advance(6_000);
        t.is(medianClock.medianUnixTime(clock), 56_000);
    });
});
