import { encode } from "cbor-x";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import {
    addSummaries,
    emptySummary,
    subtractOwn,
    summaryFromRow,
    summaryToRow,
} from "../../../src/request/admission/poolSummary.js";
import { describe, it } from "../../describe.js";

const count = fastCheck.nat({ max: 5_000 });
const tier = fastCheck.record({
    queued: count,
    preemptible: count,
    started: count,
    oldestWait: count,
    shortfall: count,
});
const summary = fastCheck.array(tier, { minLength: 6, maxLength: 6 }).map(tiers => ({
    pool: "pool",
    entries: 1,
    tiers,
}));

describe("poolSummary", () => {
    it("adds up to the same sum however entries are grouped, and gives back the others' part", t => {
        const property = fastCheck.property(summary, summary, summary, (one, two, three) => {
            const sum = addSummaries("pool", [one, two, three]);
            assert.deepEqual(addSummaries("pool", [addSummaries("pool", [one, two]), three]), sum);
            const others = addSummaries("pool", [two, three]);
            const rest = subtractOwn(sum, one);
            assert.deepEqual(rest.tiers.map(each => each.shortfall), others.tiers.map(each => each.shortfall));
            assert.equal(rest.entries, 2);
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 21 });
        });
    });

    it("survives the row, whose size does not depend on the number of entries", t => {
        const property = fastCheck.property(fastCheck.array(summary, { minLength: 1, maxLength: 20 }), summaries => {
            const sum = addSummaries("pool", summaries);
            assert.deepEqual(summaryFromRow("pool", summaryToRow(sum)), sum);
            assert.ok(encode(summaryToRow(sum)).length <= 160);
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 22 });
        });
    });

    it("refuses rows of another form", t => {
        const row = summaryToRow(emptySummary("pool"));
        t.is(summaryFromRow("pool", row.slice(1)), undefined);
        t.is(summaryFromRow("pool", row.map(() => -1)), undefined);
    });
});
