import { StreamOriginStore } from "../../../src/process/hosted/streamOriginStore.js";
import { describe, it } from "../../describe.js";

const origin = { service: "writers", softwareVersion: "v1" };

describe("StreamOriginStore", () => {
    it("knows a stream until it expires, and only under its team", t => {
        const store = new StreamOriginStore(16);
        store.record("clinic", "a", origin, 1_000);
        t.deepEqual(store.find("clinic", "a", 999), origin);
        t.is(store.find("depot", "a", 0), undefined);
        t.is(store.find("clinic", "a", 1_000), undefined);
        store.prune(1_000);
        t.is(store.size, 0);
    });

    // Guards against a team whose many streams push those of others out of the memory.
    it("stays within its capacity, and drops the oldest streams of the largest team", t => {
        const store = new StreamOriginStore(1_000);
        store.record("clinic", "a", origin, 1_000);
        for (let stream = 0; stream < 20_000; stream++) {
            store.record("depot", `b${stream}`, origin, 1_000);
        }
        t.true(store.size <= 1_000);
        t.deepEqual(store.find("clinic", "a", 0), origin);
        t.deepEqual(store.find("depot", "b19999", 0), origin);
        t.is(store.find("depot", "b0", 0), undefined);
    });

    it("counts a stream that is recorded again once", t => {
        const store = new StreamOriginStore(16);
        store.record("clinic", "a", origin, 1_000);
        store.record("clinic", "a", { ...origin, softwareVersion: "v2" }, 2_000);
        t.is(store.size, 1);
        t.is(store.find("clinic", "a", 1_500)?.softwareVersion, "v2");
    });
});
