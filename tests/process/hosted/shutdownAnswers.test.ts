import { describe, itSerially } from "../../describe.js";
import type { StreamPlan } from "./pacedFleet.js";
import { assertOutcomes, callsAt, StoppingEntry } from "./stoppingEntry.js";

/** Moments after the signal at which an entry has less time left than the answers take. */
const lateMoments = [3_200, 3_700, 4_200, 4_700, 5_200, 5_700, 6_200, 6_600];

/** Calls at each moment. */
const callCount = 3;

/** Number of calls before the shutdown. */
const warmUpCount = 24;

const warmUpIds = Array.from(Array(warmUpCount).keys(), index => `before-${index}`);

describe("entry that shuts down", () => {
    // Guards against calls with one answer that are passed on late because earlier ones were answered sooner.
    itSerially("answers each call whole or refuses it after endpoints have become slower", async t => {
        let plan: StreamPlan = { eventCount: 5 };
        await using entry = await StoppingEntry.start(222, () => plan, "unsafe");
        assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
        plan = { eventCount: 5, silence: 4_500 };
        assertOutcomes(t, await entry.stopDuring(callsAt(lateMoments, callCount)), ["whole", "refused"]);
    });

    // Guards against streams that are passed on before callers know of the shutdown, and take longer than earlier ones.
    itSerially("answers each stream whole or refuses it if streams become longer at the signal", async t => {
        let eventCount = 8;
        await using entry = await StoppingEntry.start(223, () => ({ eventCount }));
        assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
        eventCount = 55;
        assertOutcomes(t, await entry.stopDuring(callsAt([2_200, 2_400, 2_550], callCount)), ["whole", "refused"]);
    });
});
