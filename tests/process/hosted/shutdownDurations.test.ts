import { describe, itSerially } from "../../describe.js";
import type { StreamPlan } from "./pacedFleet.js";
import { assertOutcomes, callsAt, StoppingEntry } from "./stoppingEntry.js";
import type { CallOutcome } from "./stoppingEntry.js";

/** Moments after the signal at which an entry has less time left than the streams of most tests take. */
const lateMoments = [3_200, 3_700, 4_200, 4_700, 5_200, 5_700, 6_200, 6_600];

/** Calls at each moment. */
const callCount = 3;

/** Each twelfth stream of a mixed route is long. */
const mixedCallCount = 12;

/** Number of streams before the shutdown. */
const warmUpCount = 24;

const warmUpIds = Array.from(Array(warmUpCount).keys(), index => `before-${index}`);

/** A stream is answered whole, or refused as not run. */
const wholeOrRefused: readonly CallOutcome[] = ["whole", "refused"];

/** Whether a call of a mixed route is one of the long ones. */
function isLong(callId: string): boolean {
    return Number(callId.split("-")[1]) % mixedCallCount === mixedCallCount - 1;
}

describe("entry that shuts down", () => {
    describe("that has just started", () => {
        // Guards against the route's target latency, the time to the first event, being taken for the whole duration.
        itSerially("answers each stream whole or refuses it", async t => {
            await using entry = await StoppingEntry.start(160, () => ({ eventCount: 60 }));
            assertOutcomes(t, await entry.stopDuring(callsAt(lateMoments, callCount)), wholeOrRefused);
        });

        // Guards against streams that are passed on late because their bodies took long to arrive.
        itSerially("answers each stream whole or refuses it if its body arrives late", async t => {
            await using entry = await StoppingEntry.start(161, () => ({ eventCount: 50 }));
            const moments = [3_200, 3_500, 3_800, 4_100, 4_400, 4_700, 5_100, 5_500];
            assertOutcomes(
                t,
                await entry.stopDuring(callsAt(moments, callCount, { isBodyLate: true })),
                wholeOrRefused,
            );
        });
    });

    describe("that knows the durations of streams", () => {
        // Guards against durations that are known only of streams that ended, while those that run take longer.
        itSerially("answers each stream whole or refuses it after streams have become longer", async t => {
            let eventCount = 8;
            await using entry = await StoppingEntry.start(162, () => ({ eventCount }));
            assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
            eventCount = 55;
            assertOutcomes(t, await entry.stopDuring(callsAt(lateMoments, callCount)), wholeOrRefused);
        });

        // Guards against an estimate that holds for nine of ten streams: the tenth is cut.
        itSerially("answers each stream whole or refuses it if few of them are long", async t => {
            await using entry = await StoppingEntry.start(163, ({ callId }) => {
                return { eventCount: isLong(callId) ? 60 : 8 };
            });
            assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
            const moments = [300, 700, 2_000, 3_200, 4_000, 5_000, 6_000];
            assertOutcomes(t, await entry.stopDuring(callsAt(moments, mixedCallCount)), wholeOrRefused);
        });

        // Guards against calls that are passed on and get 502 at the end, because their endpoint has not answered yet.
        itSerially("answers each stream whole or refuses it after endpoints have become silent at first", async t => {
            let plan: StreamPlan = { eventCount: 5 };
            await using entry = await StoppingEntry.start(164, () => plan);
            assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
            plan = { eventCount: 5, silence: 4_500 };
            assertOutcomes(t, await entry.stopDuring(callsAt(lateMoments, callCount)), wholeOrRefused);
        });

        // Guards against the duration of the last attempt being taken for that of the whole stream.
        itSerially("answers each stream whole or refuses it if endpoints break off and others go on", async t => {
            await using entry = await StoppingEntry.start(165, () => ({ eventCount: 30, breaksOffAfter: 20 }));
            assertOutcomes(t, await entry.warmUp(warmUpIds), ["whole"]);
            const moments = [300, 900, 3_100, 3_300, 3_500, 3_900, 4_200, 4_500, 4_800];
            assertOutcomes(t, await entry.stopDuring(callsAt(moments, callCount)), wholeOrRefused);
        });
    });
});
