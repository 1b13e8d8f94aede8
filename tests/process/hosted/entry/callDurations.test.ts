import { CallDurations } from "../../../../src/process/hosted/entry/callDurations.js";
import { describe, it } from "../../../describe.js";

/** Time after which no duration counts any more. */
const forgottenAfter = 600_000;

function recordDelivered(durations: CallDurations, duration: number, endedAt = duration): void {
    durations.end(durations.begin("drafts", endedAt - duration), "delivered", endedAt);
}

describe("CallDurations", () => {
    describe("longest duration", () => {
        it("is unknown for a route without a delivered call", t => {
            const durations = new CallDurations();
            recordDelivered(durations, 800);
            t.is(durations.longest("notes", 1_000), undefined);
        });

        // Guards against estimates that hold for nine of ten calls, so that the tenth is cut by a shutdown.
        it("covers the longest of many delivered calls", t => {
            const durations = new CallDurations();
            for (let call = 0; call < 1_000; call++) {
                recordDelivered(durations, call === 3 ? 6_000 : 800, 10_000 + call);
            }
            t.is(durations.longest("drafts", 11_000), 6_000);
        });

        // Guards against estimates that know only calls that ended in time.
        it("is unknown while a call runs much longer than any delivered one", t => {
            const durations = new CallDurations();
            recordDelivered(durations, 800);
            const running = durations.begin("drafts", 1_000);
            t.is(durations.longest("drafts", 1_700), 800);
            t.is(durations.longest("drafts", 1_900), 900);
            t.is(durations.longest("drafts", 2_200), undefined);
            durations.end(running, "delivered", 6_500);
            t.is(durations.longest("drafts", 6_500), 5_500);
        });

        // Guards against estimates that know only calls that ended in time.
        it("is unknown after a call that ended otherwise lasted much longer than any delivered one", t => {
            const durations = new CallDurations();
            recordDelivered(durations, 800);
            durations.end(durations.begin("drafts", 1_000), "unfinished", 4_000);
            t.is(durations.longest("drafts", 4_000), undefined);
            recordDelivered(durations, 3_500, 8_000);
            t.is(durations.longest("drafts", 8_000), 3_500);
        });

        it("does not depend on calls that have not run", t => {
            const durations = new CallDurations();
            recordDelivered(durations, 800);
            durations.discard(durations.begin("drafts", 1_000));
            t.is(durations.longest("drafts", 9_000), 800);
        });

        it("is kept for a time and then forgotten", t => {
            const durations = new CallDurations();
            recordDelivered(durations, 6_000);
            recordDelivered(durations, 800, forgottenAfter / 2 + 7_000);
            t.is(durations.longest("drafts", forgottenAfter / 2 + 10_000), 6_000);
            t.is(durations.longest("drafts", forgottenAfter + 10_000), 800);
        });
    });
});
