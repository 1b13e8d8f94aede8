import { EntryTable, permitMilliseconds } from "../../../src/process/control/entryTable.js";
import type { EntryRecord } from "../../../src/process/control/entryTable.js";
import { InForceMonitor } from "../../../src/process/control/inForceMonitor.js";
import { describe, it } from "../../describe.js";

const term = 3;

function createEntryRecord(version: number, permitEndsAt: number, connected = true): EntryRecord {
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

function createMonitor(now: number): { readonly table: EntryTable; readonly monitor: InForceMonitor; } {
    const table = new EntryTable();
    table.enterTerm(term, now);
    const registered = { entry: "entry-1", incarnation: "a", startedAt: 0, through: 0, endedAt: undefined };
    const monitor = new InForceMonitor(table, () => [registered]);
    monitor.observe(term, 1, now);
    return { table, monitor };
}

describe("InForceMonitor", () => {
    it("measures the time until the entry reports the version", t => {
        const { table, monitor } = createMonitor(0);
        const earlierPermitsEndAt = permitMilliseconds;
        table.report(createEntryRecord(1, earlierPermitsEndAt + 10_000));
        monitor.observe(term, 2, earlierPermitsEndAt);
        monitor.observe(term, 2, earlierPermitsEndAt + 200);
        t.is(monitor.oldestPendingAge(earlierPermitsEndAt + 200), 200);
        table.report(createEntryRecord(2, earlierPermitsEndAt + 10_000));
        monitor.observe(term, 2, earlierPermitsEndAt + 300);
        t.is(monitor.oldestPendingAge(earlierPermitsEndAt + 300), 0);
        t.is(monitor.times.count, 1);
        t.true(Math.abs(monitor.times.quantile(0.5) - 300) <= 3);
    });

    it("waits for the end of a disconnected entry's permit", t => {
        const { table, monitor } = createMonitor(0);
        const earlierPermitsEndAt = permitMilliseconds;
        table.report(createEntryRecord(1, earlierPermitsEndAt + 1_000, false));
        monitor.observe(term, 2, earlierPermitsEndAt);
        monitor.observe(term, 2, earlierPermitsEndAt + 999);
        t.is(monitor.times.count, 0);
        monitor.observe(term, 2, earlierPermitsEndAt + 1_000);
        t.is(monitor.times.count, 1);
    });

    it("does not record a version while entries of an earlier leader may be missing", t => {
        const { monitor } = createMonitor(0);
        monitor.observe(term, 2, 100);
        monitor.observe(term, 2, permitMilliseconds - 1);
        t.is(monitor.times.count, 0);
        monitor.observe(term, 2, permitMilliseconds);
        t.is(monitor.times.count, 1);
    });

    it("discards pending versions when the term changes", t => {
        const { monitor } = createMonitor(0);
        monitor.observe(term, 2, 100);
        monitor.observe(undefined, 2, 200);
        monitor.observe(term + 1, 3, 300);
        monitor.observe(term + 1, 3, 10_000);
        t.is(monitor.oldestPendingAge(10_000), 0);
        t.is(monitor.times.count, 0);
    });
});
