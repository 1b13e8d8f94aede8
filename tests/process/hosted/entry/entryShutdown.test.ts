import { drainingAcceptTime, EntryShutdown } from "../../../../src/process/hosted/entry/entryShutdown.js";
import type { ExpectedCall } from "../../../../src/process/hosted/entry/entryShutdown.js";
import { describe, it } from "../../../describe.js";

/** When the shutdown begins. */
const beganAt = 100_000;

/** Time that the calls have from then on. */
const callTime = 7_500;

const call: ExpectedCall = {
    mayHaveRun: false,
    remainingTime: 20_000,
    longestDuration: 1_000,
};

function beginShutdown(): EntryShutdown {
    const shutdown = new EntryShutdown();
    shutdown.begin(callTime, beganAt);
    return shutdown;
}

describe("EntryShutdown", () => {
    it("allows every call before it begins", t => {
        t.true(new EntryShutdown().allows({ ...call, longestDuration: undefined }, beganAt));
    });

    it("is not moved by a further signal", t => {
        const shutdown = beginShutdown();
        shutdown.begin(callTime, beganAt + 5_000);
        t.is(shutdown.timeLeft(beganAt + 5_000), 2_500);
    });

    describe("for a call whose deadline comes first", () => {
        it("allows it whatever is known about its route", t => {
            const nearDeadline = { ...call, remainingTime: 2_000, longestDuration: undefined };
            t.true(beginShutdown().allows(nearDeadline, beganAt + 5_500));
            t.false(beginShutdown().allows(nearDeadline, beganAt + 5_501));
        });
    });

    describe("for a call of a caller that may not know of it", () => {
        // Guards against the time to the first event, or nothing, being taken for the duration of a stream.
        it("does not allow it while no duration is known", t => {
            t.false(beginShutdown().allows({ ...call, longestDuration: undefined }, beganAt));
        });

        it("allows it if durations leave ample time", t => {
            t.true(beginShutdown().allows(call, beganAt + drainingAcceptTime));
            t.false(beginShutdown().allows({ ...call, longestDuration: 4_000 }, beganAt));
        });
    });

    describe("for a later call", () => {
        // Guards against calls that suddenly take longer than earlier ones and are cut.
        it("does not allow it, however short earlier ones were", t => {
            t.false(beginShutdown().allows({ ...call, longestDuration: 10 }, beganAt + drainingAcceptTime + 1));
        });
    });

    describe("for a call that may have run", () => {
        it("allows it to go on if its longest duration fits", t => {
            const begun = { ...call, mayHaveRun: true, longestDuration: 3_000 };
            t.true(beginShutdown().allows(begun, beganAt + 3_500));
            t.false(beginShutdown().allows(begun, beganAt + 4_500));
            t.false(beginShutdown().allows({ ...begun, longestDuration: undefined }, beganAt));
        });
    });
});
