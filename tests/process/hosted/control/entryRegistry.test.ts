import type { EntryHeartbeat, EntryHello, PresentEntry } from "../../../../src/connection/hosted/linkMessages.js";
import { EntryRegistry } from "../../../../src/process/hosted/control/entryRegistry.js";
import { describe, it } from "../../../describe.js";

function helloOf(entry: string, failureDomain = "north"): EntryHello {
    const callerAddress = `${entry}:80`;
    return { kind: "hello", protocol: 1, entry, incarnation: "1", failureDomain, callerAddress, version: 1 };
}

function presentEntryOf(entry: string): PresentEntry {
    const { incarnation, failureDomain, callerAddress } = helloOf(entry);
    return { entry, incarnation, failureDomain, callerAddress, isReady: true, remaining: 1_000 };
}

function heartbeatOf(changes: Partial<EntryHeartbeat> = {}): EntryHeartbeat {
    const fields = { number: 1, unixTime: 0, version: 1, isReady: true, interval: 400, wantsPermit: false, work: {} };
    return { kind: "beat", ...fields, ...changes };
}

describe("EntryRegistry", () => {
    it("lists serving entries, those in the caller's failure domain first", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("far", "south"), heartbeatOf(), 0);
        registry.recordHeartbeat(helloOf("near"), heartbeatOf(), 0);
        registry.recordHeartbeat(helloOf("leaving"), heartbeatOf({ isReady: false }), 0);
        t.deepEqual(registry.callerAddresses("north", 100), ["near:80", "far:80"]);
    });

    it("omits entries without a recent heartbeat and disconnected ones", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("silent"), heartbeatOf(), 0);
        registry.recordHeartbeat(helloOf("ended"), heartbeatOf(), 2_000);
        registry.disconnect(helloOf("ended"));
        t.deepEqual(registry.callerAddresses("north", 2_100), []);
    });

    it("waits longer for an entry with a longer heartbeat interval", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("often"), heartbeatOf(), 0);
        registry.recordHeartbeat(helloOf("seldom"), heartbeatOf({ interval: 1_200 }), 0);
        t.deepEqual(registry.callerAddresses("north", 3_000), ["seldom:80"]);
        t.deepEqual(registry.callerAddresses("north", 4_000), []);
    });

    it("lists entries reported by other control processes until they are no longer reported", t => {
        const registry = new EntryRegistry();
        registry.replaceRelayed("control-2", [presentEntryOf("a"), presentEntryOf("b")], 0);
        t.deepEqual(registry.callerAddresses("north", 100), ["a:80", "b:80"]);
        registry.replaceRelayed("control-2", [presentEntryOf("b")], 200);
        t.deepEqual(registry.callerAddresses("north", 300), ["b:80"]);
        t.deepEqual(registry.callerAddresses("north", 1_300), []);
    });

    it("omits an entry that any control process reports as not ready", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), heartbeatOf(), 0);
        registry.replaceRelayed("control-2", [{ ...presentEntryOf("a"), isReady: false }], 0);
        t.deepEqual(registry.callerAddresses("north", 100), []);
    });

    it("lists an entry that has moved its link to another control process", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), heartbeatOf(), 0);
        registry.replaceRelayed("control-2", [presentEntryOf("a")], 0);
        registry.disconnect(helloOf("a"));
        t.deepEqual(registry.callerAddresses("north", 100), ["a:80"]);
        t.is(registry.count(100), 1);
    });

    it("calls back immediately when the readiness of an entry changes", t => {
        let callbacks = 0;
        const registry = new EntryRegistry(() => callbacks++);
        registry.recordHeartbeat(helloOf("a"), heartbeatOf(), 0);
        registry.recordHeartbeat(helloOf("a"), heartbeatOf(), 400);
        registry.recordHeartbeat(helloOf("a"), heartbeatOf({ isReady: false }), 500);
        t.is(callbacks, 2);
    });

    it("sums the engine time used by the calls of present entries", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), heartbeatOf({ work: { engines: { long: 5, other: 1 } } }), 2_000);
        registry.recordHeartbeat(
            helloOf("b"),
            heartbeatOf({ work: { engines: { long: 2, other: 2 }, desk: { long: 0, other: 3 } } }),
            2_000,
        );
        registry.recordHeartbeat(helloOf("silent"), heartbeatOf({ work: { engines: { long: 9, other: 9 } } }), 0);
        t.deepEqual(registry.work(2_100), { engines: { long: 7, other: 3 }, desk: { long: 0, other: 3 } });
    });

    it("drops the counts of old windows, and absent entries without counts", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("gone"), heartbeatOf({ usage: { 3: { clinic: 2 } } }), 0);
        registry.recordHeartbeat(
            helloOf("present"),
            heartbeatOf({ usage: { 3: { clinic: 2 }, 9: { clinic: 1 } } }),
            5_000,
        );
        registry.pruneBefore(8, 5_000);
        t.deepEqual(registry.windowsUpTo(9), [9]);
        t.deepEqual(registry.usageIn(3), {});
        t.is(registry.count(5_000), 1);
    });

    it("sums the counts of a window, including those of disconnected entries", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), heartbeatOf({ usage: { 7: { clinic: 2 } } }), 0);
        registry.recordHeartbeat(helloOf("a"), heartbeatOf({ usage: { 7: { clinic: 5 } } }), 400);
        registry.recordHeartbeat(
            helloOf("b"),
            heartbeatOf({ usage: { 7: { clinic: 1, desk: 1 }, 8: { desk: 4 } } }),
            400,
        );
        registry.disconnect(helloOf("a"));
        t.deepEqual(registry.usageIn(7), { clinic: 6, desk: 1 });
        t.deepEqual(registry.windowsUpTo(7), [7]);
    });
});
