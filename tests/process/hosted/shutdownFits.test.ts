import { describe, itSerially } from "../../describe.js";
import { assertOutcomes, callsAt, StoppingEntry } from "./stoppingEntry.js";

/** Number of events of each stream: it takes half a second. */
const eventCount = 5;

/** Calls at each moment. */
const callCount = 3;

/** Number of streams before the shutdown. */
const warmUpCount = 24;

const warmUpIds = Array.from(Array(warmUpCount).keys(), index => `before-${index}`);

/** Time until the deadline of a caller that leaves well before the entry ends, in milliseconds. */
const shortRemainingTime = 1_500;

/** Moments after the signal from which a call with a near deadline ends well before the entry does. */
const lateMoments = [3_000, 3_500, 4_000, 4_500, 5_000];

describe("entry that shuts down", () => {
    // Guards against refusals of streams for which there is ample time.
    itSerially("answers short streams whole while it has several times their duration left", async t => {
        await using entry = await StoppingEntry.start(166, () => ({ eventCount }));
        assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
        assertOutcomes(t, await entry.stopDuring(callsAt([100, 500, 1_000, 1_500, 2_000], callCount)), ["whole"]);
    });

    // Guards against refusals of calls whose own deadline ends before the entry does.
    itSerially("passes on calls whose deadline ends before the shutdown", async t => {
        await using entry = await StoppingEntry.start(167, () => ({ eventCount }));
        assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
        const calls = callsAt(lateMoments, callCount, { remainingTime: shortRemainingTime });
        assertOutcomes(t, await entry.stopDuring(calls), ["whole"]);
    });

    // Guards against refusals for want of a known duration where the deadline alone decides.
    itSerially("passes on calls whose deadline ends before the shutdown if it knows no durations", async t => {
        await using entry = await StoppingEntry.start(168, () => ({ eventCount }));
        const calls = callsAt(lateMoments, callCount, { remainingTime: shortRemainingTime });
        assertOutcomes(t, await entry.stopDuring(calls), ["whole"]);
    });
});
