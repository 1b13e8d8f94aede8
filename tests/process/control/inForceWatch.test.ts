import { EntryTable, permitMilliseconds } from "../../../src/process/control/entryTable.js";
import type { EntryRecord } from "../../../src/process/control/entryTable.js";
import { InForceWatch } from "../../../src/process/control/inForceWatch.js";
import { describe, it } from "../../describe.js";

const term = 3;

function entryAt(version: number, permitEndsAt: number, connected = true): EntryRecord {
    return {
        entry: "entry-1",
        incarnation: "a",
        failureDomain: "hobart-a",
        callerAddress: "127.0.0.1:1",
        metricsAddress: "127.0.0.1:2",
        version,
        status: { draining: false, runningRequests: 0, waitingRequests: 0 },
        permitEndsAt,
        connected,
    };
}

function watchFrom(now: number): { readonly table: EntryTable; readonly watch: InForceWatch; } {
    const table = new EntryTable();
    table.enterTerm(term, now);
    const registered = { entry: "entry-1", incarnation: "a", startedAt: 0, through: 0, endedAt: undefined };
    const watch = new InForceWatch(table, () => [registered]);
    watch.observe(term, 1, now);
    return { table, watch };
}

describe("InForceWatch", () => {
    it("measures until the entry has the version", t => {
        const { table, watch } = watchFrom(0);
        const start = permitMilliseconds;
        table.report(entryAt(1, start + 10_000));
        watch.observe(term, 2, start);
        watch.observe(term, 2, start + 200);
        t.is(watch.oldestPending(start + 200), 200);
        table.report(entryAt(2, start + 10_000));
        watch.observe(term, 2, start + 300);
        t.is(watch.oldestPending(start + 300), 0);
        t.is(watch.times.count, 1);
        t.true(Math.abs(watch.times.quantile(0.5) - 300) <= 3);
    });

    it("counts an entry that is cut off until its permit ends", t => {
        const { table, watch } = watchFrom(0);
        const start = permitMilliseconds;
        table.report(entryAt(1, start + 1_000, false));
        watch.observe(term, 2, start);
        watch.observe(term, 2, start + 999);
        t.is(watch.times.count, 0);
        watch.observe(term, 2, start + 1_000);
        t.is(watch.times.count, 1);
    });

    it("does not settle while entries of an earlier leader may be missing", t => {
        const { watch } = watchFrom(0);
        watch.observe(term, 2, 100);
        watch.observe(term, 2, permitMilliseconds - 1);
        t.is(watch.times.count, 0);
        watch.observe(term, 2, permitMilliseconds);
        t.is(watch.times.count, 1);
    });

    it("starts anew with another term", t => {
        const { watch } = watchFrom(0);
        watch.observe(term, 2, 100);
        watch.observe(undefined, 2, 200);
        watch.observe(term + 1, 3, 300);
        watch.observe(term + 1, 3, 10_000);
        t.is(watch.oldestPending(10_000), 0);
        t.is(watch.times.count, 0);
    });
});
