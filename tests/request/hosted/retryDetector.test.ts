import { readDesiredState } from "../../../platform/desiredState.js";
import { RetryDetector } from "../../../src/request/hosted/retryDetector.js";
import { describe, it } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";

const [drafts, bookings] = readDesiredState(Buffer.from(JSON.stringify(documentOf(1)))).unwrap().routes;

describe("detection of retried calls", () => {
    it("takes a call for a retry if its remaining time is shorter than that of first calls of the route", t => {
        const detector = new RetryDetector();
        if (drafts === undefined || bookings === undefined) {
            t.fail();
            return;
        }
        t.false(detector.isLikelyRetry(drafts, 12_000, 0));
        t.false(detector.isLikelyRetry(drafts, 11_900, 10));
        t.true(detector.isLikelyRetry(drafts, 9_000, 20));
        t.false(detector.isLikelyRetry(bookings, 2_500, 30));
        t.false(detector.isLikelyRetry(drafts, undefined, 40));
    });

    it("does not take calls for retries once all callers of the route use a shorter timeout", t => {
        const detector = new RetryDetector();
        if (drafts !== undefined) {
            detector.isLikelyRetry(drafts, 12_000, 0);
            t.false(detector.isLikelyRetry(drafts, 6_000, 61_000));
            t.false(detector.isLikelyRetry(drafts, 6_000, 61_010));
        }
    });
});
