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
    startedOutputTokens: count,
    oldestWait: count,
    shortfall: count,
});
const summary = fastCheck.array(tier, { minLength: 6, maxLength: 6 }).map(tiers => ({
    pool: "pool",
    entries: 1,
    tiers,
}));

describe("poolSummary", () => {
    it("has an associative sum from which an entry can subtract its own summary", t => {
        const property = fastCheck.property(summary, summary, summary, (first, second, third) => {
            const sum = addSummaries("pool", [first, second, third]);
            assert.deepEqual(addSummaries("pool", [addSummaries("pool", [first, second]), third]), sum);
            const others = addSummaries("pool", [second, third]);
            const rest = subtractOwn(sum, first);
            assert.deepEqual(
                rest.tiers.map(tierSummary => tierSummary.shortfall),
                others.tiers.map(tierSummary => tierSummary.shortfall),
            );
            assert.equal(rest.entries, 2);
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 21 });
        });
    });

    it("is unchanged by encoding and decoding, with a size that does not depend on the number of entries", t => {
        const property = fastCheck.property(fastCheck.array(summary, { minLength: 1, maxLength: 20 }), summaries => {
            const sum = addSummaries("pool", summaries);
            assert.deepEqual(summaryFromRow("pool", summaryToRow(sum)), sum);
            assert.ok(encode(summaryToRow(sum)).length <= 160);
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 22 });
        });
    });

    it("rejects rows with an invalid length or invalid values", t => {
        const row = summaryToRow(emptySummary("pool"));
        t.is(summaryFromRow("pool", row.slice(1)), undefined);
        t.is(summaryFromRow("pool", row.map(() => -1)), undefined);
    });
});
