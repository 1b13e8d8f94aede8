import { describe, itSerially } from "../../describe.js";
import type { StreamPlan } from "./pacedFleet.js";
import { assertOutcomes, callsAt, StoppingEntry } from "./stoppingEntry.js";

/** Number of streams before the shutdown. */
const warmUpCount = 24;

const warmUpIds = Array.from(Array(warmUpCount).keys(), index => `before-${index}`);

/** Number of calls that are under way when the entry is told to stop. */
const callCount = 12;

/** Time of the calls before the signal, as negative time after it. */
const beforeSignal = [-200];

describe("entry that shuts down", () => {
    // Guards against calls that are taken from a silent endpoint, and then not sent to another for want of time.
    itSerially("answers streams that were under way whole if their endpoints are silent at first", async t => {
        let plan: StreamPlan = { eventCount: 5 };
        await using entry = await StoppingEntry.start(221, () => plan);
        assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
        plan = { eventCount: 5, silence: 3_000 };
        assertOutcomes(t, await entry.stopDuring(callsAt(beforeSignal, callCount)), ["whole"]);
    });
});
