import { readDesiredState } from "../../../platform/desiredState.js";
import { PatienceRecord } from "../../../src/request/hosted/retryDetector.js";
import { describe, it } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";

const [drafts, bookings] = readDesiredState(Buffer.from(JSON.stringify(documentOf(1)))).unwrap().routes;

describe("refused callers that come back", () => {
    it("are known by less patience than fresh callers of the route have", t => {
        const record = new PatienceRecord();
        if (drafts === undefined || bookings === undefined) {
            t.fail();
            return;
        }
        t.false(record.isReturning(drafts, 12_000, 0));
        t.false(record.isReturning(drafts, 11_900, 10));
        t.true(record.isReturning(drafts, 9_000, 20));
        t.false(record.isReturning(bookings, 2_500, 30));
        t.false(record.isReturning(drafts, undefined, 40));
    });

    it("are not taken for such once callers have become less patient for good", t => {
        const record = new PatienceRecord();
        if (drafts !== undefined) {
            record.isReturning(drafts, 12_000, 0);
            t.false(record.isReturning(drafts, 6_000, 61_000));
            t.false(record.isReturning(drafts, 6_000, 61_010));
        }
    });
});
