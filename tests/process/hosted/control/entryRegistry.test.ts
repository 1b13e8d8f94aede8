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

function beatOf(changes: Partial<EntryHeartbeat> = {}): EntryHeartbeat {
    const fields = { number: 1, unixTime: 0, version: 1, isReady: true, interval: 400, wantsPermit: false, work: {} };
    return { kind: "beat", ...fields, ...changes };
}

describe("registry of entries", () => {
    it("names entries that serve, near ones first", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("far", "south"), beatOf(), 0);
        registry.recordHeartbeat(helloOf("near"), beatOf(), 0);
        registry.recordHeartbeat(helloOf("leaving"), beatOf({ isReady: false }), 0);
        t.deepEqual(registry.callerAddresses("north", 100), ["near:80", "far:80"]);
    });

    it("leaves out entries that are silent or whose link has ended", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("silent"), beatOf(), 0);
        registry.recordHeartbeat(helloOf("ended"), beatOf(), 2_000);
        registry.disconnect(helloOf("ended"));
        t.deepEqual(registry.callerAddresses("north", 2_100), []);
    });

    it("waits longer for an entry that tells less often", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("often"), beatOf(), 0);
        registry.recordHeartbeat(helloOf("seldom"), beatOf({ interval: 1_200 }), 0);
        t.deepEqual(registry.callerAddresses("north", 3_000), ["seldom:80"]);
        t.deepEqual(registry.callerAddresses("north", 4_000), []);
    });

    it("names entries of which other control processes tell, until these no longer do", t => {
        const registry = new EntryRegistry();
        registry.noteRelayed("control-2", [presentEntryOf("a"), presentEntryOf("b")], 0);
        t.deepEqual(registry.callerAddresses("north", 100), ["a:80", "b:80"]);
        registry.noteRelayed("control-2", [presentEntryOf("b")], 200);
        t.deepEqual(registry.callerAddresses("north", 300), ["b:80"]);
        t.deepEqual(registry.callerAddresses("north", 1_300), []);
    });

    it("leaves out an entry that is leaving by the word of any control process", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), beatOf(), 0);
        registry.noteRelayed("control-2", [{ ...presentEntryOf("a"), isReady: false }], 0);
        t.deepEqual(registry.callerAddresses("north", 100), []);
    });

    it("names an entry that has only moved its link to another control process", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), beatOf(), 0);
        registry.noteRelayed("control-2", [presentEntryOf("a")], 0);
        registry.disconnect(helloOf("a"));
        t.deepEqual(registry.callerAddresses("north", 100), ["a:80"]);
        t.is(registry.count(100), 1);
    });

    it("tells at once when an entry becomes ready or ceases to be", t => {
        let told = 0;
        const registry = new EntryRegistry(() => told++);
        registry.recordHeartbeat(helloOf("a"), beatOf(), 0);
        registry.recordHeartbeat(helloOf("a"), beatOf(), 400);
        registry.recordHeartbeat(helloOf("a"), beatOf({ isReady: false }), 500);
        t.is(told, 2);
    });

    it("adds up the engine time that the calls of present entries take", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), beatOf({ work: { engines: { long: 5, other: 1 } } }), 2_000);
        registry.recordHeartbeat(
            helloOf("b"),
            beatOf({ work: { engines: { long: 2, other: 2 }, desk: { long: 0, other: 3 } } }),
            2_000,
        );
        registry.recordHeartbeat(helloOf("silent"), beatOf({ work: { engines: { long: 9, other: 9 } } }), 0);
        t.deepEqual(registry.work(2_100), { engines: { long: 7, other: 3 }, desk: { long: 0, other: 3 } });
    });

    it("keeps no counts of old windows, and nothing of an entry that is gone", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("gone"), beatOf({ usage: { 3: { clinic: 2 } } }), 0);
        registry.recordHeartbeat(helloOf("present"), beatOf({ usage: { 3: { clinic: 2 }, 9: { clinic: 1 } } }), 5_000);
        registry.forgetBefore(8, 5_000);
        t.deepEqual(registry.windowsUpTo(9), [9]);
        t.deepEqual(registry.usageOf(3), {});
        t.is(registry.count(5_000), 1);
    });

    it("adds up the counts of a window, also those of an entry that has gone", t => {
        const registry = new EntryRegistry();
        registry.recordHeartbeat(helloOf("a"), beatOf({ usage: { 7: { clinic: 2 } } }), 0);
        registry.recordHeartbeat(helloOf("a"), beatOf({ usage: { 7: { clinic: 5 } } }), 400);
        registry.recordHeartbeat(helloOf("b"), beatOf({ usage: { 7: { clinic: 1, desk: 1 }, 8: { desk: 4 } } }), 400);
        registry.disconnect(helloOf("a"));
        t.deepEqual(registry.usageOf(7), { clinic: 6, desk: 1 });
        t.deepEqual(registry.windowsUpTo(7), [7]);
    });
});
