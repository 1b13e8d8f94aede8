import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, chatCall, chatText, collect, open, streamedText } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { describe, it } from "../../describe.js";

async function startEntry(store: DisposableStore, count: number): Promise<[TestEntry, ModelEngine[]]> {
    const engines = [...Array(count).keys()].map(index =>
        store.add(
            new ModelEngine(
                { name: `engine-${index + 1}`, models: ["alpha"], stepMilliseconds: 2, reportLagMilliseconds: 50 },
                new SystemClock(),
            ),
        )
    );
    await Promise.all(engines.map(engine => engine.start()));
    return [store.add(await TestEntry.start({ engines: engines.map(engine => engine.address) })), engines];
}

function countCompletions(engine: ModelEngine | undefined): number {
    return engine?.requestLog.listAfter().filter(request => request.method === "POST").length ?? 0;
}

async function requestMany(entry: TestEntry, count: number): Promise<readonly string[]> {
    const responses = await Promise.all(
        Array.from(Array(count).keys(), index => ask(entry, chatCall(8, `prompt ${index}`))),
    );
    return responses.map(streamedText);
}

function expectedTexts(count: number): readonly string[] {
    return Array.from(Array(count).keys(), index => chatText(8, `prompt ${index}`));
}

describe("endpoints of an entry", () => {
    it("receive no new requests while they are leaving, and complete those in progress", async t => {
        await using store = new DisposableStore();
        const [entry, engines] = await startEntry(store, 2);
        const runningRequests = await Promise.all([0, 1].map(index => open(entry, chatCall(200, `long ${index}`))));
        const [leaving] = engines;
        const state = entry.engines.table.find("engine-1");
        if (leaving !== undefined) {
            leaving.state.leaving = true;
        }
        await entry.waitUntil(() => state?.leaving === true);
        const completionsBefore = countCompletions(leaving);
        t.deepEqual(await requestMany(entry, 20), expectedTexts(20));
        t.is(countCompletions(leaving), completionsBefore);
        const responses = await Promise.all(runningRequests.map(collect));
        t.deepEqual(responses.map(streamedText), [chatText(200, "long 0"), chatText(200, "long 1")]);
    });

    it("are set aside after a crash, and return after a successful probe", async t => {
        await using store = new DisposableStore();
        const [entry, engines] = await startEntry(store, 2);
        const [crashing] = engines;
        const state = entry.engines.table.find("engine-1");
        crashing?.faults.set({ kind: "crash" });
        t.deepEqual(await requestMany(entry, 20), expectedTexts(20));
        await entry.waitUntil(() => state?.health.isSetAside === true);
        await crashing?.recover();
        await entry.waitUntil(() => state?.health.isSetAside === false);
        while (state?.health.state.kind !== "sound") {
            t.deepEqual(await requestMany(entry, 8), expectedTexts(8));
        }
        t.true(entry.state.metrics.counters.countOf("retries") <= 20);
    });

    it("are set aside as stragglers, and return when their latency is normal again", async t => {
        await using store = new DisposableStore();
        const [entry, engines] = await startEntry(store, 4);
        engines[2]?.faults.set({ kind: "straggle", factor: 8 });
        const state = entry.engines.table.find("engine-3");
        while (state?.health.isSetAsideAsSlow !== true) {
            t.deepEqual(await requestMany(entry, 16), expectedTexts(16));
        }
        const others = entry.engines.table.all.filter(each => each !== state);
        t.true(others.every(each => !each.health.isSetAsideAsSlow));
        const completionsBefore = countCompletions(engines[2]);
        t.deepEqual(await requestMany(entry, 16), expectedTexts(16));
        t.is(countCompletions(engines[2]), completionsBefore);
        engines[2]?.faults.clear();
        while (state.health.state.kind !== "sound") {
            await requestMany(entry, 8);
        }
        t.pass();
    });

    it("stay in use while the entry drains, which leaves discovery, completes running requests and then stops", async t => {
        await using store = new DisposableStore();
        const [entry] = await startEntry(store, 1);
        const commonFields = { failureDomain: "hobart-a", draining: false, load: 0 };
        entry.state.updateListings([
            { ...commonFields, entry: entry.name, callerAddress: entry.address },
            { ...commonFields, entry: "entry-2", callerAddress: "127.0.0.1:9" },
        ], 0);
        const longRequest = await open(entry, chatCall(300));
        entry.state.draining = true;
        const listResponse = await ask(entry, { method: "GET", path: "/v1/entries" });
        t.true(listResponse.body.includes("127.0.0.1:9") && !listResponse.body.includes(entry.address));
        const lateResponse = await ask(entry, chatCall(5));
        t.deepEqual([streamedText(lateResponse), lateResponse.headers.connection], [chatText(5), "close"]);
        const [response] = await Promise.all([collect(longRequest), entry[Symbol.asyncDispose]()]);
        t.is(streamedText(response), chatText(300));
        await t.throwsAsync(ask(entry, chatCall(5)), { code: "ECONNREFUSED" });
    });
});
