import { SuspensionDetector } from "../../src/util/suspensionDetector.js";
import { describe, it } from "../describe.js";
import { SettableClock } from "./settableClock.js";

describe("SuspensionDetector", () => {
    it("returns the monotonic time while both clocks agree", t => {
        const clock = new SettableClock();
        const detector = new SuspensionDetector(clock);
        clock.advance(2_000);
        t.is(detector.now(), 2_000);
        t.is(detector.timeSinceSuspension(), Infinity);
    });

    it("adds time that only the wall clock counted", t => {
        const clock = new SettableClock();
        const detector = new SuspensionDetector(clock);
        clock.unix += 4_000;
        t.is(detector.now(), 4_000);
        clock.advance(300);
        t.is(detector.timeSinceSuspension(), 300);
    });

    it("does not go back when the wall clock is set back", t => {
        const clock = new SettableClock();
        const detector = new SuspensionDetector(clock);
        clock.advance(1_000);
        clock.unix -= 5_000;
        t.is(detector.now(), 1_000);
        t.is(detector.timeSinceSuspension(), 0);
    });
});
