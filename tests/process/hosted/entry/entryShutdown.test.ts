import { drainingAcceptTime, EntryShutdown } from "../../../../src/process/hosted/entry/entryShutdown.js";
import type { ExpectedCall } from "../../../../src/process/hosted/entry/entryShutdown.js";
import { describe, it } from "../../../describe.js";

/** When the shutdown begins. */
const beganAt = 100_000;

/** Time that the calls have from then on. */
const callTime = 7_500;

const stream: ExpectedCall = {
    isStreaming: true,
    hasBegun: false,
    remainingTime: 20_000,
    longestDuration: 1_000,
};

const otherCall: ExpectedCall = { ...stream, isStreaming: false };

function beginShutdown(): EntryShutdown {
    const shutdown = new EntryShutdown();
    shutdown.begin(callTime, beganAt);
    return shutdown;
}

describe("EntryShutdown", () => {
    it("allows every call before it begins", t => {
        t.true(new EntryShutdown().allows({ ...stream, longestDuration: undefined }, beganAt));
    });

    it("is not moved by a further signal", t => {
        const shutdown = beginShutdown();
        shutdown.begin(callTime, beganAt + 5_000);
        t.is(shutdown.timeLeft(beganAt + 5_000), 2_500);
    });

    describe("for a call whose deadline comes first", () => {
        it("allows it whatever is known about its route", t => {
            const call = { ...stream, remainingTime: 2_000, longestDuration: undefined };
            t.true(beginShutdown().allows(call, beganAt + 5_500));
            t.false(beginShutdown().allows(call, beganAt + 5_501));
        });
    });

    describe("for a stream", () => {
        // Guards against the time to the first event, or nothing, being taken for the duration of a stream.
        it("does not allow it while no duration is known", t => {
            t.false(beginShutdown().allows({ ...stream, longestDuration: undefined }, beganAt));
        });

        it("allows it at first if durations leave ample time", t => {
            t.true(beginShutdown().allows(stream, beganAt + drainingAcceptTime));
            t.false(beginShutdown().allows({ ...stream, longestDuration: 4_000 }, beganAt));
        });

        // Guards against streams that suddenly take longer than earlier ones and are cut.
        it("does not allow it later, however short earlier ones were", t => {
            t.false(beginShutdown().allows({ ...stream, longestDuration: 10 }, beganAt + drainingAcceptTime + 1));
        });

        it("allows it to continue if its longest duration fits", t => {
            const begun = { ...stream, hasBegun: true, longestDuration: 3_000 };
            t.true(beginShutdown().allows(begun, beganAt + 3_500));
            t.false(beginShutdown().allows(begun, beganAt + 4_500));
            t.false(beginShutdown().allows({ ...begun, longestDuration: undefined }, beganAt));
        });
    });

    describe("for another call", () => {
        it("allows it if durations leave some time", t => {
            t.true(beginShutdown().allows({ ...otherCall, longestDuration: 2_000 }, beganAt + 5_000));
            t.false(beginShutdown().allows({ ...otherCall, longestDuration: 2_000 }, beganAt + 5_400));
            t.false(beginShutdown().allows({ ...otherCall, longestDuration: undefined }, beganAt));
        });
    });
});
